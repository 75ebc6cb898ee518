#include "suspect_simulation.h"

#include <criterion/criterion.h>

#include <cinttypes>

namespace wagtailpick::safety {

// Guards against a resent request that crashes a third upstream, and against a common request that
// is blocked after the crash of one upstream.
Test(suspect_simulation, one_request_crashes_at_most_two_upstreams) {
  SuspectCounts total;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    const SuspectCounts counts = RunSuspectSimulation({seed, Disabled::kNothing});
    cr_assert(counts.violations() == 0,
              "seed %" PRIu64 ": %" PRIu64 " excess crashes, %" PRIu64 " common blocked", seed,
              counts.excess_crashes, counts.common_blocked);
    total.Add(counts);
  }
  // Runs without crashes, trials and blocks would not test anything.
  cr_assert(total.crashes > 200 && total.trials > 100 && total.blocked_answers > 100);
  cr_assert(total.common_answers > 10'000);
}

// Guards against a checker that detects nothing: with a mechanism disabled, some seed must fail.
Test(suspect_simulation, detects_a_disabled_mechanism) {
  for (const Disabled disabled :
       {Disabled::kBroadcastBeforeAnswer, Disabled::kTrialRegister, Disabled::kUnresolvedTrial,
        Disabled::kLostForward, Disabled::kFetchAtStart, Disabled::kRecentSuccess}) {
    SuspectCounts total;
    for (std::uint64_t seed = 0; seed < 200 && total.violations() == 0; ++seed) {
      total.Add(RunSuspectSimulation({seed, disabled}));
    }
    cr_assert(total.violations() > 0, "mechanism %d", static_cast<int>(disabled));
  }
}

}  // namespace wagtailpick::safety
