#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "deployment.h"

namespace wagtailpick::benchmarks {

/// What happens during a run. Times count from the start of the run; the fault begins at
/// `fault_at`.
struct Scenario {
  std::string name;
  /// Load of each region as a share of its capacity, before and after the fault.
  std::array<double, kRegions> load_before{};
  std::array<double, kRegions> load_after{};
  base::Duration fault_at{6'000 * kMs};
  std::vector<routing::PlaceId> drained;
  std::optional<routing::RegionId> lost_region;
  bool reports_stop = false;
  /// Place whose owners report all slots free and a latency of 1 ms.
  std::optional<routing::PlaceId> misreporting_place;
  /// Place with an upstream of each service that crashes with every request after the fault.
  std::optional<routing::PlaceId> crashing_place;
  /// Times that a refused caller tries again, 200 ms later, whatever `Retry-After` says.
  int caller_retries = 0;
  /// How much slower a request of another region is at a cache that hasn't seen that region.
  double cold_factor = 1.5;
};

/// The scenarios of the benchmark, in the order of the report.
std::vector<Scenario> AllScenarios();

}  // namespace wagtailpick::benchmarks
