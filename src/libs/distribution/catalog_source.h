#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "distribution/catalog_transfer.h"

namespace wagtailpick::distribution {

/// The replica's side of catalog transfers. Keeps the newest versions of the catalog and caches the
/// transfers that entries have requested.
class CatalogSource {
 public:
  /// The bytes of one version, as the operator sent them.
  using Content = std::shared_ptr<const std::string>;

  /// Adds a committed version. An older version than the newest one and a null content are ignored.
  void AddVersion(std::uint64_t version, Content content);

  /// Returns the requested piece. A transfer that cannot be resumed begins again with the newest
  /// version. Returns nothing while the newest version is older than the wanted one.
  std::optional<CatalogPiece> Answer(const CatalogRequest& request);

 private:
  struct Version {
    CatalogKey key;
    Content content;
  };
  struct Transfer {
    CatalogKey key;
    /// Version 0 for a complete catalog.
    CatalogKey base;
    /// Made by `compress::Compress`.
    std::string compressed;
  };

  /// Returns the version, or null if it is not kept.
  const Version* Find(const CatalogKey& key) const;
  static CatalogPiece MakePiece(const Transfer& transfer, std::uint64_t offset);
  /// Returns the transfer of `version` as the difference from `held`, or complete if `held` is not
  /// kept. The reference is valid until the next call.
  const Transfer& FindOrMakeTransfer(const Version& version, const CatalogKey& held);

  /// Newest first.
  std::deque<Version> versions_;
  /// Most recently made first.
  std::deque<Transfer> transfers_;
};

}  // namespace wagtailpick::distribution
