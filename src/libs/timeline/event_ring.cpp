#include "timeline/event_ring.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wagtailpick::timeline {

EventRing::EventRing(std::string vm, std::size_t capacity)
    : vm_(std::move(vm)), capacity_(capacity) {}

void EventRing::Record(std::int64_t wall_millis, EventKind kind, std::string subject,
                       std::string detail) {
  const std::lock_guard lock(mutex_);
  if (events_.size() == capacity_) {
    events_.pop_front();
    ++dropped_;
  }
  events_.push_back({clock_.Next(wall_millis), ++last_sequence_, vm_, kind, std::move(subject),
                     std::move(detail)});
}

std::vector<Event> EventRing::EventsAfter(std::uint64_t after_sequence) const {
  const std::lock_guard lock(mutex_);
  std::vector<Event> newer;
  std::copy_if(events_.begin(), events_.end(), std::back_inserter(newer),
               [after_sequence](const Event& event) { return event.sequence > after_sequence; });
  return newer;
}

std::uint64_t EventRing::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

}  // namespace wagtailpick::timeline
