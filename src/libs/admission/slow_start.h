#pragma once

#include <cstdint>

#include "base/monotonic_time.h"

namespace wagtailpick::admission {

/// Raises the load of an upstream with cold caches gradually. One slot is usable at first; one more
/// becomes usable after every `kAnswersPerSlot` quick answers, at the latest with the first answer
/// after `kLongestStep` without an error. An answer is quick if it takes at most 1.5 times the
/// reference latency.
class SlowStart {
 public:
  static constexpr std::uint32_t kAnswersPerSlot = 20;
  static constexpr base::Duration kLongestStep = std::chrono::seconds(30);

  /// Starts over with one usable slot.
  void Restart(base::MonotonicTime now);

  /// Makes all slots usable.
  void MarkWarm() { cold_ = false; }

  /// Records an answer of an upstream with `slots` slots. `reference` is the median latency of warm
  /// upstreams of the pool, or of this upstream before its restart. It is 0 when neither is known;
  /// then every answer counts as quick.
  void OnAnswer(base::Duration latency, base::Duration reference, std::uint32_t slots,
                base::MonotonicTime now);

  /// Records an error; restarts the time of `kLongestStep`.
  void OnError(base::MonotonicTime now) { error_free_since_ = now; }

  /// True while not all slots are usable.
  bool cold() const { return cold_; }
  /// Returns how many of `slots` slots are usable.
  std::uint32_t UsableSlots(std::uint32_t slots) const;

 private:
  bool cold_ = true;
  std::uint32_t usable_ = 1;
  std::uint32_t quick_answers_ = 0;
  /// Last error, or the last increase of `usable_` if that was later.
  base::MonotonicTime error_free_since_;
};

}  // namespace wagtailpick::admission
