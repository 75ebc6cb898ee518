#pragma once

#include <cstdint>
#include <string_view>

#include "base/monotonic_time.h"

namespace wagtailpick::shift {

/// What the receiving place reports about one service.
struct ShiftMeasurement {
  /// When it was measured, on this VM's clock; the driver subtracts the report's age.
  base::MonotonicTime taken_at;
  /// Median answer time now.
  base::Duration p50{0};
  /// Median answer time of the place with warm caches; 0 when unknown.
  base::Duration warm_p50{0};
  /// Free slots as a share of all, 0 to 1.
  double free_share = 0;
};

/// What a tick did to the level and why.
enum class StepReason : std::uint8_t {
  /// Less than a second since the last change.
  kTooEarly,
  /// Up by 10% of the cap.
  kStepUp,
  /// Held: no measurement, or only one from before the last change.
  kHeldUnmeasured,
  /// Held: a bound is near, or the caches are still cold.
  kHeldNearBound,
  /// Held: shortly after a halving, or at the level below the one that crossed a bound.
  kHeldAfterHalving,
  /// Held: nothing was refused at this level, so it doesn't limit the shift.
  kHeldNoDemand,
  /// Held: the level is the whole cap.
  kHeldAtCap,
  /// Halved: the receiving place answers too slowly.
  kHalvedSlow,
  /// Halved: the receiving place has too few free slots.
  kHalvedFull,
  /// Back to the first step after a time without demand.
  kReset,
};

/// Returns the reason's name in the timeline.
std::string_view ToString(StepReason reason);

/// Result of a tick.
struct ShiftStep {
  StepReason reason = StepReason::kTooEarly;
  /// Share of the cap in use, in thousandths.
  std::uint32_t level_permille = 0;
};

}  // namespace wagtailpick::shift
