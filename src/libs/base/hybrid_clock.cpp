#include "base/hybrid_clock.h"

#include <algorithm>

namespace wagtailpick::base {

HybridStamp HybridClock::Next(std::int64_t wall_millis) {
  const std::lock_guard lock(mutex_);
  if (wall_millis > last_.wall_millis) {
    last_ = {wall_millis, 0};
  } else {
    ++last_.counter;
  }
  return last_;
}

void HybridClock::Observe(HybridStamp remote) {
  const std::lock_guard lock(mutex_);
  last_ = std::max(last_, remote);
}

}  // namespace wagtailpick::base
