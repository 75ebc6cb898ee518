#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "distribution/catalog_transfer.h"

namespace wagtailpick::orders {

/// A complete catalog. The highest version wins; another one with the same version changes nothing.
struct PutCatalog {
  std::uint64_t version = 0;
  /// As the operator sent it.
  std::string bytes;
};

/// A catalog as the difference from another version; the form in which the log holds catalogs. It
/// changes nothing where that version isn't the newest any more.
struct CatalogPatch {
  std::uint64_t version = 0;
  /// Version 0 for a complete catalog.
  distribution::CatalogKey base;
  /// Made by `compress::Compress`.
  std::string packed;
};

/// Requests to a data centre end, or may go there again.
struct SetEvacuation {
  std::string data_centre;
  bool evacuated = true;
};

using Order = std::variant<PutCatalog, SetEvacuation, CatalogPatch>;

}  // namespace wagtailpick::orders
