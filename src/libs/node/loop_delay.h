#pragma once

#include <deque>

#include "base/monotonic_time.h"

namespace wagtailpick::node {

/// Tells how long ago an event that is handled now can have come, from how late the loop's periodic
/// work runs: a busy loop, or one whose process was paused, handles events late. Not thread-safe.
class LoopDelay {
 public:
  /// `interval` is the time between two ticks; `now` counts as the first one.
  LoopDelay(base::Duration interval, base::MonotonicTime now)
      : interval_(interval), last_tick_(now) {}

  void RecordTick(base::MonotonicTime now);

  /// Earliest time at which an event that is handled at `now` can have come; `now` itself unless
  /// the loop was blocked at the last tick or is late for the next one. After several late ticks
  /// in a row, it is the tick before the first of the last `kMaxLateTicks` ones.
  base::MonotonicTime EarliestArrival(base::MonotonicTime now) const;

 private:
  bool IsLate(base::MonotonicTime now) const;

  base::Duration interval_;
  base::MonotonicTime last_tick_;
  /// The tick before each tick of the current row of late ones, oldest first: events that came in
  /// between may wait to be handled still. Empty if the last tick was on time.
  std::deque<base::MonotonicTime> blocked_since_;
};

}  // namespace wagtailpick::node
