#include <criterion/criterion.h>

#include "choice_schedule.h"

namespace wagtailpick::routing {

// Guards against any choice that breaks a cap, overloads a region, goes to a draining place or
// isn't among the candidates that a search of all rows finds.
Test(choice_property, random_schedules_keep_the_invariants) {
  ScheduleCounts sum;
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    const ScheduleCounts counts = RunChoiceSchedule(seed);
    cr_assert(counts.cap_exceeded == 0, "seed %d", static_cast<int>(seed));
    cr_assert(counts.link_exceeded == 0, "seed %d", static_cast<int>(seed));
    cr_assert(counts.region_overloaded == 0, "seed %d", static_cast<int>(seed));
    cr_assert(counts.drained_work == 0, "seed %d", static_cast<int>(seed));
    cr_assert(counts.not_eligible == 0, "seed %d", static_cast<int>(seed));
    sum += counts;
  }
  // The schedules have to reach the cases that the invariants are about.
  cr_assert(sum.shifted * 50 > sum.choices);
  cr_assert(sum.refused * 50 > sum.choices);
}

}  // namespace wagtailpick::routing
