#pragma once

#include <memory>

#include "routing/summary_table.h"
#include "routing/topology.h"

namespace wagtailpick::routing {

inline constexpr base::Duration kMs{1'000};

/// Returns the time `milliseconds` after the start of the clock.
inline base::MonotonicTime At(std::int64_t milliseconds) {
  return base::MonotonicTime(base::Duration(milliseconds * 1'000));
}

/// Builds three regions with two data centres each: data centres 0 and 1, 2 and 3, 4 and 5. One-way
/// latency is 1 ms within a region and 20 ms between regions.
inline std::shared_ptr<const Topology> ThreeRegions() {
  TopologySpec spec{{0, 0, 1, 1, 2, 2}, kMs, {}};
  for (RegionId from = 0; from < 3; ++from) {
    for (RegionId to = 0; to < 3; ++to) {
      if (from != to) spec.links.push_back({from, to, 20 * kMs});
    }
  }
  return std::make_shared<const Topology>(Topology::Build(spec).value());
}

/// Returns a summary of entry `place` + 100 about service 0 in `place`.
inline Summary SummaryOf(PlaceId place, std::uint32_t free, std::uint32_t total,
                         std::uint64_t sequence = 1, base::Duration latency = 10 * kMs) {
  return {{place + 100U, place, 0}, free, total, latency, sequence};
}

}  // namespace wagtailpick::routing
