#include <criterion/criterion.h>

#include <cstdio>

#include "simulation/schedule.h"

using wagtailpick::consensus::simulation::Faults;
using wagtailpick::consensus::simulation::kViolationKinds;
using wagtailpick::consensus::simulation::RunSchedule;
using wagtailpick::consensus::simulation::ScheduleResult;
using wagtailpick::consensus::simulation::Violation;

namespace {

constexpr std::uint64_t kSeeds = 300;

}  // namespace

// Guards against any schedule of faults that loses, reorders or changes a committed entry, elects
// two leaders in a term, or lets two leaders hold the lease.
Test(differential, random_schedules_match_a_single_copy_log) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const ScheduleResult result = RunSchedule(seed);
    for (std::size_t kind = 0; kind < kViolationKinds; ++kind) {
      const auto violation = static_cast<Violation>(kind);
      cr_expect_eq(result.checker.count(violation), 0, "seed %lu: %zu times %s", seed,
                   result.checker.count(violation), ToString(violation).data());
    }
  }
}
