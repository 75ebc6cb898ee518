#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailpick::distribution {

/// Identifies a version of the catalog and its content.
struct CatalogKey {
  /// 0 for no catalog.
  std::uint64_t version = 0;
  /// Hash of the uncompressed content; 0 for no catalog.
  std::uint64_t digest = 0;

  friend auto operator<=>(const CatalogKey&, const CatalogKey&) = default;
};

/// Returns the key of a version with `content`.
CatalogKey CatalogKeyOf(std::uint64_t version, std::string_view content);

/// A request from an entry to a replica for the next piece of a transfer.
struct CatalogRequest {
  /// The catalog that the entry holds and from which a new transfer is to be the difference;
  /// version 0 asks for the complete catalog.
  CatalogKey held;
  /// The catalog and the base of the current transfer. Before the first piece, `wanted.version` is
  /// the lowest acceptable version.
  CatalogKey wanted;
  CatalogKey base;
  /// Number of bytes received; 0 begins a transfer of the newest version.
  std::uint64_t offset = 0;
};

/// A part of a transfer, which is the compressed catalog.
struct CatalogPiece {
  /// The catalog that is transferred.
  CatalogKey key;
  /// The catalog from which the transfer is the difference; version 0 for a complete transfer.
  CatalogKey base;
  /// Length of the whole transfer in bytes.
  std::uint64_t total = 0;
  /// Position of `bytes` in the transfer.
  std::uint64_t offset = 0;
  std::string bytes;
};

/// Maximum size of an uncompressed catalog. A catalog of the target size has 14 MB.
inline constexpr std::size_t kMaxCatalogBytes = 64UL * 1024 * 1024;

}  // namespace wagtailpick::distribution
