#pragma once

#include <chrono>
#include <cstdint>

namespace wagtailpick::base {

/// A duration in microseconds.
using Duration = std::chrono::microseconds;

/// Returns `seconds` as a duration, rounded towards zero.
constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Returns `duration` in seconds.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Returns `factor` times `duration`, rounded towards zero.
constexpr Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

/// Clock type of `MonotonicTime`, which leases and deadlines use. The clock also advances while the
/// VM is suspended; otherwise a suspended holder would treat its lease as valid after its expiry.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
};

/// A point in time on the local monotonic clock; not comparable between VMs.
using MonotonicTime = BootClock::time_point;

/// Returns the current time of the monotonic clock (CLOCK_BOOTTIME).
MonotonicTime MonotonicNow();

/// Returns the wall-clock time in milliseconds since the Unix epoch.
std::int64_t WallNowMillis();

}  // namespace wagtailpick::base
