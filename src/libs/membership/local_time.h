#pragma once

#include <cstdint>

#include "base/monotonic_time.h"

namespace wagtailpick::membership {

/// The current time on both clocks of this VM, in no particular time zone. Read the wall clock
/// before the monotonic clock: a pause between the two reads then makes deadlines earlier and waits
/// longer, which is safe.
struct LocalTime {
  /// Milliseconds since the Unix epoch.
  std::int64_t wall_ms = 0;
  base::MonotonicTime monotonic;
};

/// Assumed maximum difference between the wall clocks of any two VMs, including upstreams, in
/// milliseconds.
constexpr std::int64_t kMaxWallClockSkewMs = 100;

}  // namespace wagtailpick::membership
