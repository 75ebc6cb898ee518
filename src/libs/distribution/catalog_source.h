#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "distribution/catalog_transfer.h"

namespace wagtailpick::distribution {

/// A replica's side of transfers: keeps the newest versions of the catalog and the differences
/// between them that entries have asked for.
class CatalogSource {
 public:
  using Content = std::shared_ptr<const std::string>;

  /// A newer version is committed; an older one changes nothing.
  void AddVersion(std::uint64_t version, Content content);

  /// The piece that was asked for. A transfer that can't be carried on begins again with the newest
  /// version. Nothing while this replica doesn't have the version.
  std::optional<CatalogPiece> Answer(const CatalogRequest& request);

 private:
  struct Version {
    CatalogKey key;
    Content content;
  };
  struct Transfer {
    CatalogKey key;
    CatalogKey base;
    std::string packed;
  };

  const Version* Find(const CatalogKey& key) const;
  static CatalogPiece PieceOf(const Transfer& transfer, std::uint64_t offset);
  const Transfer& TransferOf(const Version& version, const CatalogKey& held);

  /// Newest first.
  std::deque<Version> versions_;
  /// Most recently made first.
  std::deque<Transfer> transfers_;
};

}  // namespace wagtailpick::distribution
