#include "timeline/event_ring.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

using wagtailpick::base::HybridStamp;
using wagtailpick::timeline::EventKind;
using wagtailpick::timeline::EventRing;
using wagtailpick::timeline::ToString;

// Guards against a ring that grows without bound or drops events without counting them.
Test(event_ring, drops_the_oldest_events_and_counts_them) {
  EventRing ring("entry-1", 3);
  for (int i = 1; i <= 5; ++i) {
    ring.Record(1'000 + i, EventKind::kBundleInForce, std::to_string(i), "");
  }
  const auto events = ring.EventsAfter(0);
  cr_assert(events.size() == 3);
  cr_expect(ring.dropped() == 2);
  cr_expect(events.front().subject == "3");
  cr_expect(events.front().sequence == 3);
  cr_expect(events.back().sequence == 5);
  cr_expect(events.back().vm == "entry-1");
}

// Guards against a reader that gets an event twice or misses one when it polls for new events.
Test(event_ring, events_after_returns_only_newer_events) {
  EventRing ring("entry-1", 10);
  for (int i = 1; i <= 4; ++i) ring.Record(1'000, EventKind::kShiftStep, std::to_string(i), "");
  cr_expect(ring.EventsAfter(2).size() == 2);
  cr_expect(ring.EventsAfter(2).front().sequence == 3);
  cr_expect(ring.EventsAfter(4).empty());
}

// Guards against events that are merged in the wrong order after the wall clock was set back.
Test(event_ring, stamps_increase_when_the_wall_clock_goes_back) {
  EventRing ring("entry-1", 10);
  for (const int wall : {5'000, 5'000, 4'000, 1, 5'001, 4'999}) {
    ring.Record(wall, EventKind::kLeaseGranted, "", "");
  }
  const auto events = ring.EventsAfter(0);
  for (std::size_t i = 1; i < events.size(); ++i) {
    cr_expect(events[i - 1].stamp < events[i].stamp, "event %zu", i);
  }
}

// Guards against an event with an earlier stamp than the message that caused it.
Test(event_ring, an_event_is_stamped_later_than_a_received_message) {
  EventRing ring("entry-1", 10);
  const HybridStamp remote{9'000, 7};
  ring.ObserveMessage(remote);
  ring.Record(8'000, EventKind::kBundleInForce, "2", "");
  cr_expect(remote < ring.EventsAfter(0).front().stamp);
}

// Guards against a kind without a row in the name table, which would be named "unknown".
Test(event_ring, every_kind_has_a_distinct_name) {
  std::set<std::string> names;
  const int last = static_cast<int>(EventKind::kReplicaRemoved);
  for (int kind = 0; kind <= last; ++kind) {
    names.emplace(ToString(static_cast<EventKind>(kind)));
  }
  cr_expect(names.size() == static_cast<std::size_t>(last) + 1);
  cr_expect(!names.contains("unknown"));
}
