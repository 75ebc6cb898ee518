#pragma once

#include <chrono>
#include <cstdint>

#include "membership/local_time.h"

namespace wagtailpick::membership {

/// An upstream gets no new work once its last announcement is this old on its own clock.
constexpr std::int64_t kSilenceTimeoutMs = 2'000;

/// When an upstream's newest announcement was sent (its wall clock) and received (our clock).
struct LastSeen {
  std::int64_t sent_unix_ms = 0;
  base::MonotonicTime received;

  /// True while the announcement is younger than `kSilenceTimeoutMs` on the upstream's clock,
  /// whatever the difference of the wall clocks within its bound. The age counts from the sending,
  /// as an entry that was paused can pass on an announcement long after it was made. The monotonic
  /// clock is checked too, so that a wall clock that steps back can't keep a silent upstream alive.
  bool IsFresh(const LocalTime& now) const {
    return now.wall_ms < sent_unix_ms + kSilenceTimeoutMs - kMaxWallClockSkewMs &&
           now.monotonic < received + std::chrono::milliseconds(kSilenceTimeoutMs);
  }
};

}  // namespace wagtailpick::membership
