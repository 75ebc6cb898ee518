#pragma once

#include <cstdint>

#include "base/monotonic_time.h"

namespace wagtailpick::admission {

/// Usable slots of an upstream whose caches may be cold: one at first, one more after each 20 quick
/// answers, at the latest after 30 s of error-free work.
class SlowStart {
 public:
  static constexpr std::uint32_t kAnswersPerSlot = 20;
  static constexpr base::Duration kLongestStep = std::chrono::seconds(30);

  /// Starts again with one usable slot.
  void Restart(base::MonotonicTime now);

  /// Makes all slots usable.
  void MarkWarm() { cold_ = false; }

  /// Counts an answer. `reference` is the median latency of warm peers or of the upstream's own
  /// past; 0 when there is neither, and then every answer counts as quick.
  void OnAnswer(base::Duration latency, base::Duration reference, std::uint32_t slots,
                base::MonotonicTime now);

  void OnError(base::MonotonicTime now) { error_free_since_ = now; }

  bool cold() const { return cold_; }
  std::uint32_t UsableSlots(std::uint32_t slots) const;

 private:
  bool cold_ = true;
  std::uint32_t usable_ = 1;
  std::uint32_t quick_answers_ = 0;
  base::MonotonicTime error_free_since_;
};

}  // namespace wagtailpick::admission
