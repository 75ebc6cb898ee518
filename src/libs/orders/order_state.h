#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "base/result.h"
#include "orders/order.h"

namespace wagtailpick::orders {

/// The state built by the committed orders: the newest catalog and the evacuated data centres.
class OrderState {
 public:
  /// Applies the order that is committed at `index` of the log; returns whether the state changed.
  bool Apply(std::uint64_t index, const Order& order);

  /// Returns a patch from the present catalog to that of `put`, complete if there is none yet.
  CatalogPatch MakePatch(const PutCatalog& put) const;
  /// Returns a patch without a base, which applies on any catalog of a lower version.
  static CatalogPatch MakeCompletePatch(const PutCatalog& put);

  /// Log index of the last order that changed the state; 0 before the first.
  std::uint64_t changed_index() const { return changed_index_; }
  /// Version of the present catalog; 0 before the first one.
  std::uint64_t catalog_version() const { return catalog_version_; }
  /// The present catalog as the operator sent it; null before the first one.
  const std::shared_ptr<const std::string>& catalog_bytes() const { return catalog_bytes_; }
  /// Names of the evacuated data centres.
  const std::set<std::string>& evacuated() const { return evacuated_; }

  /// Encodes the whole state (MessagePack).
  std::string EncodeSnapshot() const;
  /// Decodes a snapshot made by `EncodeSnapshot` of this or an earlier program version. Fails with
  /// `kCorrupt` on anything else.
  static base::Result<OrderState> DecodeSnapshot(const std::string& bytes);

 private:
  /// Replaces the catalog; always returns true.
  bool SetCatalog(std::uint64_t version, std::string bytes);
  /// Returns false if the base is not the present catalog or the patch cannot be decompressed.
  bool ApplyPatch(const CatalogPatch& patch);

  std::uint64_t changed_index_ = 0;
  std::uint64_t catalog_version_ = 0;
  std::shared_ptr<const std::string> catalog_bytes_;
  std::set<std::string> evacuated_;
};

}  // namespace wagtailpick::orders
