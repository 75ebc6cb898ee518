#pragma once

#include <cstdint>

#include "base/monotonic_time.h"

namespace wagtailpick::membership {

/// One instant on both clocks of this VM. Read the wall clock first: a pause between the two reads
/// then makes deadlines earlier and waits longer, which is the safe direction.
struct LocalTime {
  std::int64_t wall_ms = 0;
  base::MonotonicTime monotonic;
};

/// Assumed bound on the difference between the wall clocks of any two VMs, upstreams included.
constexpr std::int64_t kMaxWallClockSkewMs = 100;

}  // namespace wagtailpick::membership
