#include "admission/slow_start.h"

#include <algorithm>

namespace wagtailpick::admission {
namespace {

bool IsQuick(base::Duration latency, base::Duration reference) {
  return reference.count() == 0 || 2 * latency <= 3 * reference;
}

}  // namespace

void SlowStart::Restart(base::MonotonicTime now) {
  cold_ = true;
  usable_ = 1;
  quick_answers_ = 0;
  error_free_since_ = now;
}

void SlowStart::OnAnswer(base::Duration latency, base::Duration reference, std::uint32_t slots,
                         base::MonotonicTime now) {
  if (!cold_) return;
  if (IsQuick(latency, reference)) ++quick_answers_;
  if (quick_answers_ < kAnswersPerSlot && now < error_free_since_ + kLongestStep) return;
  ++usable_;
  quick_answers_ = 0;
  error_free_since_ = now;
  if (usable_ >= slots) cold_ = false;
}

std::uint32_t SlowStart::UsableSlots(std::uint32_t slots) const {
  return cold_ ? std::min(slots, usable_) : slots;
}

}  // namespace wagtailpick::admission
