#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "base/hybrid_clock.h"
#include "timeline/event.h"

namespace wagtailpick::timeline {

/// The newest events of one process. Thread-safe.
class EventRing {
 public:
  /// Keeps at most `capacity` events of the process on `vm`.
  EventRing(std::string vm, std::size_t capacity);

  /// Stamps and stores an event; the oldest one is dropped when the ring is full. `wall_millis` is
  /// the current wall-clock time.
  void Record(std::int64_t wall_millis, EventKind kind, std::string subject, std::string detail);

  /// Returns the stored events with a sequence number above `after`, oldest first.
  std::vector<Event> EventsAfter(std::uint64_t after) const;

  /// Number of events that were dropped for lack of room.
  std::uint64_t dropped() const;

  /// Returns a stamp for an outgoing message, later than all events recorded so far.
  base::HybridStamp StampMessage(std::int64_t wall_millis) { return clock_.Next(wall_millis); }

  /// Takes in the stamp of an incoming message, so that later events follow its sender's.
  void ObserveMessage(base::HybridStamp stamp) { clock_.Observe(stamp); }

 private:
  const std::string vm_;
  const std::size_t capacity_;
  mutable std::mutex mutex_;
  base::HybridClock clock_;
  std::deque<Event> events_;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace wagtailpick::timeline
