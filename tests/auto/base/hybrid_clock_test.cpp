#include "base/hybrid_clock.h"

#include <criterion/criterion.h>

#include <initializer_list>

using wagtailpick::base::HybridClock;
using wagtailpick::base::HybridStamp;

namespace {

bool Is(HybridStamp stamp, std::int64_t wall_millis, std::uint32_t counter) {
  return stamp.wall_millis == wall_millis && stamp.counter == counter;
}

}  // namespace

// Guards against two events of one process with equal or falling stamps.
Test(hybrid_clock, stamps_rise_whatever_the_wall_clock_does) {
  HybridClock clock;
  HybridStamp last = clock.Next(100);
  cr_expect(Is(last, 100, 0));
  for (const int wall : {100, 99, 1, 100, 101, 101, -5}) {
    const HybridStamp next = clock.Next(wall);
    cr_expect(last < next, "wall time %d", wall);
    last = next;
  }
}

// Guards against an answer that sorts before the question it answers.
Test(hybrid_clock, a_stamp_follows_an_observed_one) {
  HybridClock clock;
  clock.Next(100);
  clock.Observe({200, 5});
  cr_expect(Is(clock.Next(150), 200, 6));
  // An old stamp changes nothing.
  clock.Observe({10, 99});
  cr_expect(Is(clock.Next(150), 200, 7));
  cr_expect(Is(clock.Next(201), 201, 0));
}
