#include "claim_simulation.h"

#include <criterion/criterion.h>

#include <cinttypes>

namespace wagtailpick::claims {
namespace {

constexpr std::uint64_t kSeeds = 150;

void CheckSeeds(std::size_t replicas) {
  Counts total;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    const Counts counts = RunClaimSimulation({seed, replicas, Disabled::kNothing});
    cr_assert(counts.violations() == 0,
              "seed %" PRIu64 ": second runs %" PRIu64 ", wrong \"not run\" %" PRIu64
              ", foreign answers %" PRIu64,
              seed, counts.second_runs, counts.wrong_not_run, counts.foreign_answers);
    total.Add(counts);
  }
  // Ensures that the simulations exercised the mechanisms.
  cr_assert(total.runs > kSeeds && total.replays > kSeeds && total.not_run > kSeeds);
  cr_assert(total.copies_done > kSeeds);
}

}  // namespace

// Guards against requests that run twice, wrong verdicts "not run" and answers to other requests,
// under message and disk faults.
Test(claim_simulation, no_guarantee_is_violated_with_3_replicas) { CheckSeeds(3); }
Test(claim_simulation, no_guarantee_is_violated_with_5_replicas) { CheckSeeds(5); }

// Guards against a checker that detects nothing: with each mechanism disabled, some seed must fail.
Test(claim_simulation, each_disabled_mechanism_is_detected) {
  for (const Disabled disabled :
       {Disabled::kCopyBeforeAccept, Disabled::kCopyFromEnough, Disabled::kMajority,
        Disabled::kHoldWhileUnknown, Disabled::kRefusalFence, Disabled::kBodyDigest}) {
    Counts total;
    for (std::uint64_t seed = 0; seed < 400 && total.violations() == 0; ++seed) {
      total.Add(RunClaimSimulation({seed, 3, disabled}));
    }
    cr_assert(total.violations() > 0, "disabled mechanism %d was not detected",
              static_cast<int>(disabled));
  }
}

}  // namespace wagtailpick::claims
