#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>

#include "base/monotonic_time.h"

namespace wagtailpick::control {

/// A simulated clock with its own rate and start.
class DriftingClock {
 public:
  DriftingClock(double rate, base::Duration start) : rate_(rate), start_(start) {}
  base::MonotonicTime Read(base::Duration true_time) const;

 private:
  double rate_;
  base::Duration start_;
};

/// Discrete-event simulator: runs tasks in the order of true time, with random choices from one
/// seed.
class EventSimulator {
 public:
  explicit EventSimulator(std::uint64_t seed) : random_(seed) {}

  base::Duration now() const { return now_; }

  /// Runs `task` after `delay`.
  void After(base::Duration delay, std::function<void()> task);

  /// Runs `task` every `interval`.
  void Every(base::Duration interval, std::function<void()> task);

  /// Runs until true time `end`.
  void RunUntil(base::Duration end);

  /// Returns a number from 0 to `bound` - 1.
  std::uint64_t Pick(std::uint64_t bound) { return random_() % bound; }

  /// Returns a time from `low` to `high` in milliseconds.
  base::Duration PickMillis(std::uint64_t low, std::uint64_t high);

  /// Returns a random message latency: mostly at most 50 ms, sometimes up to 3.5 s.
  base::Duration PickLatency();

  /// Returns a clock whose rate error is at most `percent`, and often exactly that.
  DriftingClock PickClock(double percent);

 private:
  std::mt19937_64 random_;
  base::Duration now_{0};
  std::multimap<base::Duration, std::function<void()>> tasks_;
};

}  // namespace wagtailpick::control
