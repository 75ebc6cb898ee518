#include "base/hybrid_clock.h"

#include <criterion/criterion.h>

#include <initializer_list>

using wagtailpick::base::HybridClock;
using wagtailpick::base::HybridStamp;

namespace {

bool HasValues(HybridStamp stamp, std::int64_t wall_millis, std::uint32_t counter) {
  return stamp.wall_millis == wall_millis && stamp.counter == counter;
}

}  // namespace

// Guards against equal or decreasing stamps of two events of one process.
Test(hybrid_clock, stamps_increase_when_the_wall_clock_stops_or_goes_back) {
  HybridClock clock;
  HybridStamp last = clock.Next(100);
  cr_expect(HasValues(last, 100, 0));
  for (const int wall : {100, 99, 1, 100, 101, 101, -5}) {
    const HybridStamp next = clock.Next(wall);
    cr_expect(last < next, "wall time %d", wall);
    last = next;
  }
}

// Guards against an answer that is ordered before its request.
Test(hybrid_clock, a_stamp_is_later_than_an_observed_one) {
  HybridClock clock;
  clock.Next(100);
  clock.Observe({200, 5});
  cr_expect(HasValues(clock.Next(150), 200, 6));
  // Observing an older stamp does not change the clock.
  clock.Observe({10, 99});
  cr_expect(HasValues(clock.Next(150), 200, 7));
  cr_expect(HasValues(clock.Next(201), 201, 0));
}
