#pragma once

#include <compare>
#include <cstdint>
#include <mutex>

namespace wagtailpick::base {

/// Hybrid logical timestamp. Stamps order the events of several processes so that the receipt of a
/// message comes after its sending.
struct HybridStamp {
  /// Milliseconds since the Unix epoch.
  std::int64_t wall_millis = 0;
  /// Orders stamps of the same millisecond.
  std::uint32_t counter = 0;

  friend auto operator<=>(const HybridStamp&, const HybridStamp&) = default;
};

/// Hybrid logical clock of one process. Thread-safe.
class HybridClock {
 public:
  /// Returns a stamp later than all stamps returned or observed before. `wall_millis` is the
  /// current wall-clock time in milliseconds since the Unix epoch; it may go back.
  HybridStamp Next(std::int64_t wall_millis);

  /// Advances the clock to the stamp of a received message, so that later local stamps follow it.
  void Observe(HybridStamp remote);

 private:
  std::mutex mutex_;
  HybridStamp last_;
};

}  // namespace wagtailpick::base
