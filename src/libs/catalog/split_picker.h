#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "catalog/route.h"

namespace wagtailpick::catalog {

/// Divides each route's requests among its targets by weight, so that any run of requests is close
/// to the weights (smooth weighted round robin).
class SplitPicker {
 public:
  /// Starts each route at a position of its own for this seed, so that many entries with few
  /// requests each don't all begin with the same target.
  explicit SplitPicker(std::uint64_t seed) : seed_(seed) {}

  /// Returns the service for the route's next request.
  const std::string& Pick(const Route& route);

 private:
  struct State {
    std::vector<RouteTarget> targets;
    std::vector<std::int64_t> credit;
  };

  std::uint64_t seed_;
  std::map<std::string, State> states_;
};

}  // namespace wagtailpick::catalog
