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

/// Ring buffer of the newest events of one process. Thread-safe.
class EventRing {
 public:
  /// Creates a ring for at most `capacity` events. `vm` is the VM of the process.
  EventRing(std::string vm, std::size_t capacity);

  /// Stores an event with a new stamp; drops the oldest event if the ring is full. `wall_millis` is
  /// the current wall-clock time in milliseconds since the Unix epoch.
  void Record(std::int64_t wall_millis, EventKind kind, std::string subject, std::string detail);

  /// Returns the stored events with a sequence number above `after_sequence`, oldest first.
  std::vector<Event> EventsAfter(std::uint64_t after_sequence) const;

  /// Number of events that were dropped because the ring was full.
  std::uint64_t dropped() const;

  /// Returns a stamp for an outgoing message, later than those of all events recorded so far.
  /// `wall_millis` is the current wall-clock time in milliseconds since the Unix epoch.
  base::HybridStamp StampMessage(std::int64_t wall_millis) { return clock_.Next(wall_millis); }

  /// Applies the stamp of an incoming message, so that events recorded later get later stamps.
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
