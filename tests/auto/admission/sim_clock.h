#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <random>

#include "membership/local_time.h"

namespace wagtailpick::admission {

/// Simulated real time, in microseconds.
using SimTime = std::int64_t;

constexpr SimTime kMs = 1'000;

/// The clocks of one simulated VM. The wall clock is off by at most 49 ms, so that two of them
/// differ by less than 100 ms. The monotonic clock runs up to 1% fast or slow. Extreme values are
/// chosen with high probability.
class SimClock {
 public:
  explicit SimClock(std::mt19937_64& random) {
    constexpr std::array<SimTime, 4> kOffsets{-49, 49, 0, 20};
    constexpr std::array<std::int64_t, 4> kRates{990, 1010, 1000, 1004};
    wall_offset_ = kOffsets[random() % kOffsets.size()] * kMs;
    rate_per_mille_ = kRates[random() % kRates.size()];
  }

  /// Returns the wall-clock time at `at`, in milliseconds since the Unix epoch.
  std::int64_t WallMs(SimTime at) const { return kEpochMs + (at + wall_offset_) / kMs; }

  base::MonotonicTime Monotonic(SimTime at) const {
    return base::MonotonicTime(base::Duration(kStart + at * rate_per_mille_ / 1000));
  }

  membership::LocalTime At(SimTime at) const { return {WallMs(at), Monotonic(at)}; }

  /// Returns the earliest simulated time at which the wall clock shows `wall_ms`.
  SimTime WhenWallShows(std::int64_t wall_ms) const {
    return (wall_ms - kEpochMs) * kMs - wall_offset_;
  }

 private:
  static constexpr std::int64_t kEpochMs = 1'700'000'000'000;
  static constexpr SimTime kStart = 1'000'000'000;

  SimTime wall_offset_ = 0;
  std::int64_t rate_per_mille_ = 1000;
};

}  // namespace wagtailpick::admission
