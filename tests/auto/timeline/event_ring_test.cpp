#include "timeline/event_ring.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

using wagtailpick::base::HybridStamp;
using wagtailpick::timeline::EventKind;
using wagtailpick::timeline::EventRing;
using wagtailpick::timeline::ToString;

// Guards against a ring that grows without bound, or that hides the loss of events.
Test(event_ring, drops_the_oldest_and_counts_them) {
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

// Guards against a reader that gets an event twice or misses one when it asks for what is new.
Test(event_ring, events_after_returns_only_newer_ones) {
  EventRing ring("entry-1", 10);
  for (int i = 1; i <= 4; ++i) ring.Record(1'000, EventKind::kShiftStep, std::to_string(i), "");
  cr_expect(ring.EventsAfter(2).size() == 2);
  cr_expect(ring.EventsAfter(2).front().sequence == 3);
  cr_expect(ring.EventsAfter(4).empty());
}

// Guards against events that change places in the merged order when the wall clock is set back.
Test(event_ring, stamps_rise_although_the_wall_clock_goes_back) {
  EventRing ring("entry-1", 10);
  for (const int wall : {5'000, 5'000, 4'000, 1, 5'001, 4'999}) {
    ring.Record(wall, EventKind::kLeaseGranted, "", "");
  }
  const auto events = ring.EventsAfter(0);
  for (std::size_t i = 1; i < events.size(); ++i) {
    cr_expect(events[i - 1].stamp < events[i].stamp, "event %zu", i);
  }
}

// Guards against an effect that is stamped before the message that caused it.
Test(event_ring, an_event_follows_the_stamp_of_an_incoming_message) {
  EventRing ring("entry-1", 10);
  const HybridStamp remote{9'000, 7};
  ring.ObserveMessage(remote);
  ring.Record(8'000, EventKind::kBundleInForce, "2", "");
  cr_expect(remote < ring.EventsAfter(0).front().stamp);
}

// Guards against a kind that the name table lacks, which would show as "unknown".
Test(event_ring, every_kind_has_a_name_of_its_own) {
  std::set<std::string> names;
  const int last = static_cast<int>(EventKind::kReplicaRemoved);
  for (int kind = 0; kind <= last; ++kind) {
    names.emplace(ToString(static_cast<EventKind>(kind)));
  }
  cr_expect(names.size() == static_cast<std::size_t>(last) + 1);
  cr_expect(!names.contains("unknown"));
}
