#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace wagtailpick::control {

/// Demand of one holder on a pool, in units.
struct ShareDemand {
  int priority = 1;
  std::uint64_t units = 0;
};

/// Divides `capacity` in whole units: higher priorities first, and max-min fair within a priority,
/// that is, no share exceeds its demand and the smallest unsatisfied share is as large as possible.
/// Returns the shares in the order of `demands`. Deterministic.
std::vector<std::uint64_t> DivideShares(std::uint64_t capacity,
                                        std::span<const ShareDemand> demands);

}  // namespace wagtailpick::control
