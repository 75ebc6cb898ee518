#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/monotonic_time.h"

namespace wagtailpick::shift {

/// Requests of one service that the failed region served.
struct ForcedDemand {
  std::uint16_t service = 0;
  /// 1 to 9; 9 is served first.
  std::uint32_t priority = 1;
  std::uint32_t requests_per_s = 0;
  /// Request plus expected answer.
  std::uint32_t bytes_per_request = 0;
};

/// What another region can take over of one service.
struct ForcedTarget {
  std::uint16_t region = 0;
  std::uint16_t service = 0;
  /// Shift cap from the failed region to this one.
  std::uint32_t cap_per_s = 0;
  /// Requests that its free slots bear beyond its own load; see `SustainableRate`.
  std::uint32_t sustainable_per_s = 0;
};

/// Bytes that the link to a region may carry.
struct ForcedLink {
  std::uint16_t region = 0;
  std::uint64_t bytes_per_s = 0;
};

/// Requests of a service that go to a region.
struct ForcedGrant {
  std::uint16_t service = 0;
  std::uint16_t region = 0;
  std::uint32_t requests_per_s = 0;
};

/// Requests of a service that are refused at once.
struct ForcedRefusal {
  std::uint16_t service = 0;
  std::uint32_t requests_per_s = 0;
};

/// How the load of a failed region is served.
struct ForcedPlan {
  std::vector<ForcedGrant> grants;
  std::vector<ForcedRefusal> refusals;
};

/// Requests per second that `free_slots` bear when `headroom_percent` of `total_slots` stay free
/// and each request takes a slot for `slot_time`. 0 when `slot_time` is unknown (0).
std::uint32_t SustainableRate(std::uint32_t free_slots, std::uint32_t total_slots,
                              std::uint32_t headroom_percent, base::Duration slot_time);

/// Spreads the load of a failed region over the others, in proportion to what they bear, within
/// caps and link shares. Services of higher priority get link bytes first; what doesn't fit is
/// refused.
ForcedPlan PlanForcedShift(std::span<const ForcedDemand> demands,
                           std::span<const ForcedTarget> targets,
                           std::span<const ForcedLink> links);

}  // namespace wagtailpick::shift
