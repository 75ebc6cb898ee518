#include "node/loop_watch.h"

#include <criterion/criterion.h>

namespace {

using std::chrono::milliseconds;
using wagtailpick::base::MonotonicNow;
using wagtailpick::metrics::Registry;
using wagtailpick::node::LoopWatch;

constexpr milliseconds kInterval{200};

}  // namespace

// Guards against a loop that hangs for seconds without a sign for operators.
Test(loop_watch, keeps_the_longest_time_for_which_the_loop_ran_nothing_else) {
  Registry registry;
  const auto begin = MonotonicNow();
  LoopWatch watch(kInterval, registry);
  const auto& longest = registry.GaugeAt("wagtailpick_loop_longest_block_ms");
  watch.RecordTick(begin + milliseconds(200));
  cr_expect(longest.value() < 10);
  watch.RecordTick(begin + milliseconds(2'400));
  cr_expect(longest.value() == 2'000, "%ld ms", longest.value());
  watch.RecordTick(begin + milliseconds(2'600));
  watch.RecordTick(begin + milliseconds(3'000));
  cr_expect(longest.value() == 2'000, "%ld ms", longest.value());
}
