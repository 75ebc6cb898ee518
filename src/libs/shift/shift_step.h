#pragma once

#include <cstdint>
#include <string_view>

#include "base/monotonic_time.h"

namespace wagtailpick::shift {

/// State of one service in the receiving region, as measured there.
struct ShiftMeasurement {
  /// Time of the measurement on this VM's clock; the caller subtracts the age of the report.
  base::MonotonicTime taken_at;
  /// Current median answer time.
  base::Duration p50{0};
  /// Median answer time with warm caches; 0 when unknown.
  base::Duration warm_p50{0};
  /// Free slots as a fraction of all slots, from 0 to 1.
  double free_share = 0;
};

/// Effect of a tick on the level, and its reason.
enum class StepReason : std::uint8_t {
  /// Unchanged: less than 1 s since the last change.
  kTooEarly,
  /// Raised by 10% of the cap, or less if the level is limited after a halving.
  kStepUp,
  /// Unchanged: no recent measurement, none since the last change, or the warm answer time is
  /// unknown.
  kHeldUnmeasured,
  /// Unchanged: close to a halving threshold, because slots fill up or caches are still cold.
  kHeldNearBound,
  /// Unchanged: shortly after a halving, or at the highest level that is allowed since.
  kHeldAfterHalving,
  /// Unchanged: no request was refused at this level, so the level does not limit the shift.
  kHeldNoDemand,
  /// Unchanged: the level is the whole cap.
  kHeldAtCap,
  /// Halved: answers of the receiving region are too slow.
  kHalvedSlow,
  /// Halved: the receiving region has too few free slots.
  kHalvedFull,
  /// Reset to the first step after a period without demand.
  kReset,
};

/// Returns the name of the reason in the timeline.
std::string_view ToString(StepReason reason);

/// Result of `ShiftController::Tick`.
struct ShiftStep {
  StepReason reason = StepReason::kTooEarly;
  /// Level after the tick: the usable part of the share, in thousandths.
  std::uint32_t level_permille = 0;
};

}  // namespace wagtailpick::shift
