#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "deployment.h"

namespace wagtailpick::benchmarks {

/// Loads and faults of a run. The faults begin at `fault_at`, counted from the start of the run.
struct Scenario {
  std::string name;
  /// Load of each region as a share of its capacity, before and after the fault.
  std::array<double, kRegions> load_before{};
  std::array<double, kRegions> load_after{};
  base::Duration fault_at{6'000 * kMs};
  /// Places drained by the fault.
  std::vector<routing::PlaceId> drained;
  std::optional<routing::RegionId> lost_region;
  /// Whether owners stop to send summaries.
  bool reports_stop = false;
  /// Place whose owners report all slots free and a latency of 1 ms.
  std::optional<routing::PlaceId> misreporting_place;
  /// Place with an upstream of each service that crashes with every request after the fault.
  std::optional<routing::PlaceId> crashing_place;
  /// Number of retries of a refused caller, each after 200 ms regardless of `Retry-After`.
  int caller_retries = 0;
  /// Factor by which a request is slower at an upstream that has not served requests of its region.
  double cold_factor = 1.5;
};

/// The scenarios of the benchmark, in the order of the report.
std::vector<Scenario> AllScenarios();

}  // namespace wagtailpick::benchmarks
