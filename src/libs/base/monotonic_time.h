#pragma once

#include <chrono>
#include <cstdint>

namespace wagtailpick::base {

/// A span of time in microseconds.
using Duration = std::chrono::microseconds;

/// Tag of the clock that leases and deadlines are measured on. It keeps counting while the VM is
/// suspended, so a lease can't outlive its length because its holder was paused.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
};

/// An instant on the local monotonic clock; not comparable between VMs.
using MonotonicTime = BootClock::time_point;

/// Reads the monotonic clock (CLOCK_BOOTTIME).
MonotonicTime MonotonicNow();

/// Milliseconds of wall-clock time since the Unix epoch.
std::int64_t WallNowMillis();

}  // namespace wagtailpick::base
