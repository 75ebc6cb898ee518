#include "node/loop_delay.h"

#include <criterion/criterion.h>

namespace {

using std::chrono::milliseconds;
using wagtailpick::base::MonotonicTime;
using wagtailpick::node::LoopDelay;

constexpr milliseconds kInterval{200};

MonotonicTime At(int ms) { return MonotonicTime(milliseconds(ms)); }

}  // namespace

// Guards against a normal delay that shortens the drain.
Test(loop_delay, counts_from_now_while_ticks_are_on_time) {
  LoopDelay delay(kInterval, At(0));
  delay.RecordTick(At(200));
  delay.RecordTick(At(420));
  cr_expect(delay.EarliestArrival(At(430)) == At(430));
  cr_expect(delay.EarliestArrival(At(660)) == At(660));
}

// Guards against a signal that counts from when a blocked loop handled it: before or after the late
// tick, it may have come just after the tick before that.
Test(loop_delay, counts_from_the_tick_before_the_loop_was_blocked) {
  LoopDelay delay(kInterval, At(0));
  delay.RecordTick(At(200));
  cr_expect(delay.EarliestArrival(At(1'700)) == At(200));
  delay.RecordTick(At(1'700));
  cr_expect(delay.EarliestArrival(At(1'701)) == At(200));
}

// Guards against a signal that counts from the end of a long pause, as the backlog of the pause
// makes the next tick late, too.
Test(loop_delay, counts_from_before_a_pause_while_its_backlog_delays_ticks) {
  LoopDelay delay(kInterval, At(0));
  delay.RecordTick(At(200));
  delay.RecordTick(At(1'700));
  delay.RecordTick(At(1'960));
  cr_expect(delay.EarliestArrival(At(1'961)) == At(200));
}

// Guards against a loop that was blocked once, or is always late, and counts ever older times.
Test(loop_delay, goes_back_three_late_ticks_at_most) {
  LoopDelay delay(kInterval, At(0));
  for (const int tick : {1'500, 3'000, 4'500}) delay.RecordTick(At(tick));
  cr_expect(delay.EarliestArrival(At(4'510)) == At(0));
  delay.RecordTick(At(6'000));
  cr_expect(delay.EarliestArrival(At(6'010)) == At(1'500));
  delay.RecordTick(At(6'200));
  cr_expect(delay.EarliestArrival(At(6'210)) == At(6'210));
}
