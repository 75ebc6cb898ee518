#pragma once

#include <chrono>
#include <cstdint>

#include "membership/local_time.h"

namespace wagtailpick::membership {

/// Age of the last announcement, by the upstream's clock in milliseconds, from which on an upstream
/// is silent and gets no new work.
constexpr std::int64_t kSilenceTimeoutMs = 2'000;

/// When an upstream's newest announcement was sent, by the upstream's wall clock, and received, by
/// this VM's monotonic clock.
struct LastSeen {
  std::int64_t sent_unix_ms = 0;
  base::MonotonicTime received;

  /// Returns true while the announcement is certainly younger than `kSilenceTimeoutMs`, that is,
  /// for any wall clock skew up to `kMaxWallClockSkewMs`. The age is measured from the sending, as
  /// an entry that was paused may forward an announcement long after it was sent. The monotonic
  /// clock is checked as well, so that a wall clock that steps back cannot keep a silent upstream
  /// fresh.
  bool IsFresh(const LocalTime& now) const {
    return now.wall_ms < sent_unix_ms + kSilenceTimeoutMs - kMaxWallClockSkewMs &&
           now.monotonic < received + std::chrono::milliseconds(kSilenceTimeoutMs);
  }
};

}  // namespace wagtailpick::membership
