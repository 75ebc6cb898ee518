#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace wagtailpick::control {

/// What one holder wants of a pool.
struct ShareDemand {
  int priority = 1;
  std::uint64_t units = 0;
};

/// Divides `capacity` whole units: higher priorities first, and within a priority so that nobody
/// gets more than it wants and the smallest unsatisfied share is as large as possible. Returns the
/// shares in the order of `demands`; the same arguments give the same shares.
std::vector<std::uint64_t> DivideShares(std::uint64_t capacity,
                                        std::span<const ShareDemand> demands);

}  // namespace wagtailpick::control
