#pragma once

#include "base/monotonic_time.h"
#include "membership/local_time.h"

namespace wagtailpick::entry {

/// Reads both clocks, the wall clock first, as `membership::LocalTime` requires.
inline membership::LocalTime Now() {
  const auto wall = base::WallNowMillis();
  return {wall, base::MonotonicNow()};
}

}  // namespace wagtailpick::entry
