#include "suspect_simulation.h"

#include <criterion/criterion.h>

#include <cinttypes>

namespace wagtailpick::safety {

// Guards against a third upstream taken down by one resent request, and against a common request
// that is blocked by the death of one upstream.
Test(suspect_simulation, one_request_takes_down_at_most_two_upstreams) {
  SuspectCounts total;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    const SuspectCounts counts = RunSuspectSimulation({seed, Disabled::kNothing});
    cr_assert(counts.violations() == 0,
              "seed %" PRIu64 ": %" PRIu64 " excess crashes, %" PRIu64 " common blocked", seed,
              counts.excess_crashes, counts.common_blocked);
    total.Add(counts);
  }
  // A run in which nothing happens proves nothing.
  cr_assert(total.crashes > 200 && total.trials > 100 && total.blocked_answers > 100);
  cr_assert(total.common_answers > 10'000);
}

// Guards against a checker that notices nothing: with a mechanism off, some seed must fail.
Test(suspect_simulation, a_disabled_mechanism_is_noticed) {
  for (const Disabled disabled :
       {Disabled::kTellBeforeAnswer, Disabled::kTrialRegister, Disabled::kUnresolvedTrial,
        Disabled::kLostForward, Disabled::kAskAtStart, Disabled::kRecentSuccess}) {
    SuspectCounts total;
    for (std::uint64_t seed = 0; seed < 200 && total.violations() == 0; ++seed) {
      total.Add(RunSuspectSimulation({seed, disabled}));
    }
    cr_assert(total.violations() > 0, "mechanism %d", static_cast<int>(disabled));
  }
}

}  // namespace wagtailpick::safety
