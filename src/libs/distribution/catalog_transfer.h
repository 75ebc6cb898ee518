#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailpick::distribution {

/// Names the content of one version of the catalog.
struct CatalogKey {
  /// 0 for no catalog.
  std::uint64_t version = 0;
  /// Hash of the content; 0 for no catalog.
  std::uint64_t digest = 0;

  friend auto operator<=>(const CatalogKey&, const CatalogKey&) = default;
};

CatalogKey CatalogKeyOf(std::uint64_t version, std::string_view content);

/// Asks a replica for the next piece of a transfer.
struct CatalogRequest {
  /// What the entry holds: the transfer is the difference from it.
  CatalogKey held;
  /// The transfer under way, and what it is the difference from. While nothing has come, the
  /// version of `wanted` is the least one wanted.
  CatalogKey wanted;
  CatalogKey base;
  /// Bytes of the transfer that have come; 0 begins one for the newest version.
  std::uint64_t offset = 0;
};

/// A part of a transfer.
struct CatalogPiece {
  CatalogKey key;
  /// What the transfer is the difference from; version 0 for a complete catalog.
  CatalogKey base;
  /// Length of the whole transfer in bytes.
  std::uint64_t total = 0;
  std::uint64_t offset = 0;
  std::string bytes;
};

/// A catalog of the target size has 14 MB.
inline constexpr std::size_t kMaxCatalogBytes = 64UL * 1024 * 1024;

}  // namespace wagtailpick::distribution
