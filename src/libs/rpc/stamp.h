#pragma once

#include <wagtailpick.pb.h>

#include "base/hybrid_clock.h"
#include "base/monotonic_time.h"
#include "timeline/event_ring.h"

namespace wagtailpick::rpc {

/// Adds a hybrid logical time stamp to an outgoing message, so that later events of the receiver
/// are ordered after earlier events of this process in the timeline.
template <typename Message>
void AddStamp(timeline::EventRing& events, Message& message) {
  const auto stamp = events.StampMessage(base::WallNowMillis());
  message.mutable_stamp()->set_wall_millis(stamp.wall_millis);
  message.mutable_stamp()->set_counter(stamp.counter);
}

/// Advances the logical clock of `events` by the stamp of a received message, if it has one.
template <typename Message>
void ApplyStamp(timeline::EventRing& events, const Message& message) {
  if (!message.has_stamp()) return;
  events.ObserveMessage({message.stamp().wall_millis(), message.stamp().counter()});
}

}  // namespace wagtailpick::rpc
