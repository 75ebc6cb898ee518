#include "admission/latency_window.h"

#include <algorithm>
#include <limits>

namespace wagtailpick::admission {

void LatencyWindow::Add(base::Duration latency) {
  constexpr base::Duration::rep kMax = std::numeric_limits<std::uint32_t>::max();
  if (count_ == 0) next_ = 0;
  micros_[next_] =
      static_cast<std::uint32_t>(std::clamp<base::Duration::rep>(latency.count(), 0, kMax));
  next_ = (next_ + 1) % kSize;
  count_ = std::min<std::uint32_t>(count_ + 1, kSize);
}

base::Duration LatencyWindow::Median() const {
  if (count_ == 0) return {};
  auto sorted = micros_;
  const auto middle = sorted.begin() + count_ / 2;
  std::nth_element(sorted.begin(), middle, sorted.begin() + count_);
  return base::Duration(*middle);
}

}  // namespace wagtailpick::admission
