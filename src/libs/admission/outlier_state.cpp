#include "admission/outlier_state.h"

#include <algorithm>
#include <bit>

namespace wagtailpick::admission {

void OutlierState::Record(bool error) {
  constexpr std::uint32_t kMask = (1U << kWindow) - 1;
  errors_ = ((errors_ << 1U) | (error ? 1U : 0U)) & kMask;
}

bool OutlierState::ErrorShareTooHigh() const {
  return 2 * static_cast<std::uint32_t>(std::popcount(errors_)) > kWindow;
}

void OutlierState::Eject(base::MonotonicTime now) {
  const bool recent = last_ejection_.count() > 0 && now < ejected_until_ + kLongestEjection;
  last_ejection_ = recent ? std::min(2 * last_ejection_, kLongestEjection) : kFirstEjection;
  ejected_until_ = now + last_ejection_;
  errors_ = 0;
}

}  // namespace wagtailpick::admission
