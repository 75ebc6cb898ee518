#include "node/loop_delay.h"

namespace wagtailpick::node {
namespace {

/// A tick that is late by more than this shows that the loop was blocked.
constexpr base::Duration kUsualLateness = std::chrono::milliseconds(50);

}  // namespace

void LoopDelay::RecordTick(base::MonotonicTime now) {
  blocked_since_ = IsLate(now) ? std::optional(last_tick_) : std::nullopt;
  last_tick_ = now;
}

base::MonotonicTime LoopDelay::EarliestArrival(base::MonotonicTime now) const {
  if (blocked_since_) return *blocked_since_;
  return IsLate(now) ? last_tick_ : now;
}

bool LoopDelay::IsLate(base::MonotonicTime now) const {
  return now - last_tick_ > interval_ + kUsualLateness;
}

}  // namespace wagtailpick::node
