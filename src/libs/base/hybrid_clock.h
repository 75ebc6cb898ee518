#pragma once

#include <compare>
#include <cstdint>
#include <mutex>

namespace wagtailpick::base {

/// Hybrid logical time stamp: orders events of several processes consistently with their messages.
struct HybridStamp {
  std::int64_t wall_millis = 0;
  std::uint32_t counter = 0;

  friend auto operator<=>(const HybridStamp&, const HybridStamp&) = default;
};

/// Hybrid logical clock of one process. Thread-safe.
class HybridClock {
 public:
  /// Returns a stamp later than all that were made or observed before. `wall_millis` is the current
  /// wall-clock time.
  HybridStamp Next(std::int64_t wall_millis);

  /// Takes in a stamp that came with a message, so that later local stamps follow it.
  void Observe(HybridStamp remote);

 private:
  std::mutex mutex_;
  HybridStamp last_;
};

}  // namespace wagtailpick::base
