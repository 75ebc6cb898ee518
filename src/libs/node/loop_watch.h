#pragma once

#include "base/monotonic_time.h"
#include "metrics/registry.h"

namespace wagtailpick::node {

/// Tells operators when the event loop ran nothing else for long: nobody is answered meanwhile. Not
/// thread-safe.
class LoopWatch {
 public:
  /// `interval` is the time between two ticks of the loop, and `registry` gets the metric
  /// `wagtailpick_loop_longest_block_ms`.
  LoopWatch(base::Duration interval, metrics::Registry& registry);

  /// Records that a tick runs at `now`. Logs `loop_blocked` if it is late by more than some hundred
  /// milliseconds, with the processor time that the process has used since the last tick: it tells
  /// a long task from a process that was paused.
  void RecordTick(base::MonotonicTime now);

 private:
  base::Duration interval_;
  metrics::Gauge& longest_block_;
  base::Duration longest_{};
  base::MonotonicTime last_tick_;
  base::Duration last_cpu_time_;
};

}  // namespace wagtailpick::node
