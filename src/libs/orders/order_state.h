#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "base/result.h"
#include "orders/order.h"

namespace wagtailpick::orders {

/// What the committed orders have built.
class OrderState {
 public:
  /// Applies the order at `index`; returns whether it changed anything.
  bool Apply(std::uint64_t index, const Order& order);

  /// Returns a catalog as the difference from the one held, or complete.
  CatalogPatch MakePatch(const PutCatalog& put) const;
  static CatalogPatch MakeCompletePatch(const PutCatalog& put);

  /// Index of the last order that changed something.
  std::uint64_t changed_index() const { return changed_index_; }
  /// 0 before the first catalog.
  std::uint64_t catalog_version() const { return catalog_version_; }
  /// Null before the first catalog.
  const std::shared_ptr<const std::string>& catalog_bytes() const { return catalog_bytes_; }
  const std::set<std::string>& evacuated() const { return evacuated_; }

  std::string EncodeSnapshot() const;
  /// Fails with `kCorrupt` on anything that `EncodeSnapshot` didn't make.
  static base::Result<OrderState> DecodeSnapshot(const std::string& bytes);

 private:
  bool PutNewer(std::uint64_t version, std::string bytes);
  bool Apply(const CatalogPatch& patch);

  std::uint64_t changed_index_ = 0;
  std::uint64_t catalog_version_ = 0;
  std::shared_ptr<const std::string> catalog_bytes_;
  std::set<std::string> evacuated_;
};

}  // namespace wagtailpick::orders
