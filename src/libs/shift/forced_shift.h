#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/monotonic_time.h"

namespace wagtailpick::shift {

/// Load of one service that the failed region served.
struct ForcedDemand {
  /// Index of the service.
  std::uint16_t service = 0;
  /// 1 to 9; demands of priority 9 are served first.
  std::uint32_t priority = 1;
  std::uint32_t requests_per_s = 0;
  /// Size of a request plus its expected answer.
  std::uint32_t bytes_per_request = 0;
};

/// Capacity of another region for one service.
struct ForcedTarget {
  std::uint16_t region = 0;
  std::uint16_t service = 0;
  /// Shift cap from the failed region to this one, in requests per second.
  std::uint32_t cap_per_s = 0;
  /// Requests per second that the free slots sustain in addition to the region's own load; see
  /// `SustainableRate`.
  std::uint32_t sustainable_per_s = 0;
};

/// Capacity of the link to a region that is available to the shift.
struct ForcedLink {
  std::uint16_t region = 0;
  std::uint64_t bytes_per_s = 0;
};

/// Load of a service that is shifted to a region.
struct ForcedGrant {
  std::uint16_t service = 0;
  std::uint16_t region = 0;
  std::uint32_t requests_per_s = 0;
};

/// Load of a service that no region can serve and that is refused at once.
struct ForcedRefusal {
  std::uint16_t service = 0;
  std::uint32_t requests_per_s = 0;
};

/// Distribution of the load of a failed region.
struct ForcedPlan {
  std::vector<ForcedGrant> grants;
  std::vector<ForcedRefusal> refusals;
};

/// Returns the requests per second that `free_slots` sustain if `headroom_percent` of `total_slots`
/// stay free and each request holds a slot for `slot_time`. Returns 0 if `slot_time` is 0, which
/// means unknown.
std::uint32_t SustainableRate(std::uint32_t free_slots, std::uint32_t total_slots,
                              std::uint32_t headroom_percent, base::Duration slot_time);

/// Distributes the load of a failed region over the others, in proportion to the load that they can
/// take, within shift caps and link capacities. Services of higher priority are served first. Load
/// that exceeds the capacities is refused.
ForcedPlan PlanForcedShift(std::span<const ForcedDemand> demands,
                           std::span<const ForcedTarget> targets,
                           std::span<const ForcedLink> links);

}  // namespace wagtailpick::shift
