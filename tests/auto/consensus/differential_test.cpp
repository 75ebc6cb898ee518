#include <criterion/criterion.h>

#include "simulation/schedule.h"

using wagtailpick::consensus::simulation::Faults;
using wagtailpick::consensus::simulation::kViolationKinds;
using wagtailpick::consensus::simulation::RunSchedule;
using wagtailpick::consensus::simulation::Violation;

namespace {

constexpr std::uint64_t kSeeds = 200;
// Enough seeds for the checker to report each disabled mechanism, which takes only a few.
constexpr std::uint64_t kFaultSeeds = 60;

}  // namespace

// Guards against committed entries that are lost, reordered or changed, two leaders in one term,
// and two leaders holding the lease, under random schedules of faults.
Test(differential, random_schedules_match_a_single_copy_log) {
  std::uint64_t committed = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto result = RunSchedule(seed);
    committed += result.committed;
    for (std::size_t kind = 0; kind < kViolationKinds; ++kind) {
      const auto violation = static_cast<Violation>(kind);
      const std::size_t count = result.checker.count(violation);
      cr_expect_eq(count, 0, "seed %lu: %s, %zu times", seed, ToString(violation).data(), count);
    }
  }
  cr_expect_gt(committed, 50 * kSeeds, "the schedules commit too few entries to be a test");
}

// Guards against a checker that misses violations: each disabled mechanism must be reported.
Test(differential, the_checker_reports_each_disabled_mechanism) {
  const struct {
    const char* what;
    bool Faults::*fault;
    Violation violation;
  } cases[] = {
      {"acknowledged before the sync", &Faults::acknowledge_before_sync, Violation::kEntryLost},
      {"incarnation used again", &Faults::reuse_incarnation, Violation::kEntryLost},
      {"incarnation used again", &Faults::reuse_incarnation, Violation::kTwoLeaders},
      {"entry changed on disk", &Faults::corrupt_entry, Violation::kDivergence},
      {"clock stops in a pause", &Faults::clock_stops_in_pause, Violation::kTwoLeases},
      {"clock stops in a pause", &Faults::clock_stops_in_pause, Violation::kStaleLease},
      {"applied twice", &Faults::keep_applied_state, Violation::kAppliedBackwards},
  };
  for (const auto& row : cases) {
    Faults faults;
    faults.*row.fault = true;
    bool reported = false;
    for (std::uint64_t seed = 1; seed <= kFaultSeeds && !reported; ++seed) {
      reported = RunSchedule(seed, faults).checker.count(row.violation) > 0;
    }
    cr_expect(reported, "%s: no report of %s", row.what, ToString(row.violation).data());
  }
}
