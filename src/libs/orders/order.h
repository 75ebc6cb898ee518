#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "distribution/catalog_transfer.h"

namespace wagtailpick::orders {

/// Replaces the catalog by a complete one. Only a higher version than the present one is applied.
struct PutCatalog {
  std::uint64_t version = 0;
  /// As the operator sent it.
  std::string bytes;
};

/// Replaces the catalog by a newer one, given as the difference from a base; the log stores
/// catalogs in this form. It is applied only if the base is still the present catalog.
struct CatalogPatch {
  std::uint64_t version = 0;
  /// Version 0 for a complete catalog.
  distribution::CatalogKey base;
  /// Made by `compress::Compress`.
  std::string compressed;
};

/// Evacuates a data centre, so that it gets no requests, or ends its evacuation.
struct SetEvacuation {
  std::string data_centre;
  bool evacuated = true;
};

/// A command of an operator, as it is committed to the replicated log.
using Order = std::variant<PutCatalog, SetEvacuation, CatalogPatch>;

}  // namespace wagtailpick::orders
