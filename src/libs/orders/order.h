#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace wagtailpick::orders {

/// A complete catalog. The highest version wins; another one with the same version changes nothing.
struct PutCatalog {
  std::uint64_t version = 0;
  /// As the operator sent it.
  std::string bytes;
};

/// Requests to a data centre end, or may go there again.
struct SetEvacuation {
  std::string data_centre;
  bool evacuated = true;
};

using Order = std::variant<PutCatalog, SetEvacuation>;

}  // namespace wagtailpick::orders
