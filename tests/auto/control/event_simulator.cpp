#include "event_simulator.h"

#include <utility>

namespace wagtailpick::control {

using base::Duration;
using std::chrono::milliseconds;

base::MonotonicTime DriftingClock::Read(Duration true_time) const {
  const double elapsed = static_cast<double>(true_time.count()) * rate_;
  return base::MonotonicTime(start_ + Duration(static_cast<std::int64_t>(elapsed)));
}

void EventSimulator::After(Duration delay, std::function<void()> task) {
  tasks_.emplace(now_ + delay, std::move(task));
}

void EventSimulator::Every(Duration interval, std::function<void()> task) {
  After(interval, [this, interval, task = std::move(task)] {
    task();
    Every(interval, task);
  });
}

void EventSimulator::RunUntil(Duration end) {
  while (!tasks_.empty() && tasks_.begin()->first <= end) {
    auto next = tasks_.extract(tasks_.begin());
    now_ = next.key();
    next.mapped()();
  }
  now_ = end;
}

Duration EventSimulator::PickMillis(std::uint64_t low, std::uint64_t high) {
  return Duration(1'000 * low + Pick(1'000 * (high - low) + 1));
}

Duration EventSimulator::PickLatency() {
  const auto choice = Pick(20);
  if (choice == 0) return PickMillis(300, 3'500);
  return choice < 4 ? PickMillis(50, 400) : PickMillis(1, 50);
}

DriftingClock EventSimulator::PickClock(double percent) {
  const double steps[] = {-1.0, 1.0, 0.0, -0.5, 0.7};
  return {1.0 + steps[Pick(5)] * percent / 100.0, milliseconds(Pick(1'000'000))};
}

}  // namespace wagtailpick::control
