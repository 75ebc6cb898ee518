#include "node/loop_delay.h"

namespace wagtailpick::node {
namespace {

/// A tick that is late by more than this shows that the loop was blocked.
constexpr base::Duration kUsualLateness = std::chrono::milliseconds(50);
/// Late ticks in a row that an event can have waited for. The backlog of a long pause makes one or
/// two ticks after it late, too. Without a cap, a loop that is always late would count ever older
/// times.
constexpr std::size_t kMaxLateTicks = 3;

}  // namespace

void LoopDelay::RecordTick(base::MonotonicTime now) {
  if (IsLate(now)) {
    blocked_since_.push_back(last_tick_);
    if (blocked_since_.size() > kMaxLateTicks) blocked_since_.pop_front();
  } else {
    blocked_since_.clear();
  }
  last_tick_ = now;
}

base::MonotonicTime LoopDelay::EarliestArrival(base::MonotonicTime now) const {
  if (!blocked_since_.empty()) return blocked_since_.front();
  return IsLate(now) ? last_tick_ : now;
}

bool LoopDelay::IsLate(base::MonotonicTime now) const {
  return now - last_tick_ > interval_ + kUsualLateness;
}

}  // namespace wagtailpick::node
