#pragma once

#include <wagtailpick.pb.h>

#include "base/hybrid_clock.h"
#include "base/monotonic_time.h"
#include "timeline/event_ring.h"

namespace wagtailpick::rpc {

/// Stamps an outgoing message, so that the receiver's later events follow this process's earlier
/// ones in the timeline.
template <typename Message>
void AddStamp(timeline::EventRing& events, Message& message) {
  const auto stamp = events.StampMessage(base::WallNowMillis());
  message.mutable_stamp()->set_wall_millis(stamp.wall_millis);
  message.mutable_stamp()->set_counter(stamp.counter);
}

/// Takes in the stamp of a received message.
template <typename Message>
void ApplyStamp(timeline::EventRing& events, const Message& message) {
  if (!message.has_stamp()) return;
  events.ObserveMessage({message.stamp().wall_millis(), message.stamp().counter()});
}

}  // namespace wagtailpick::rpc
