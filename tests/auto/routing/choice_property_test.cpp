#include <criterion/criterion.h>

#include "choice_schedule.h"

namespace wagtailpick::routing {

// Guards against choices that exceed a cap or a link share, overload a region, use a drained data
// centre or are not among the candidates found by a search of all pools.
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
  // Ensures that the schedules contain shifts and refusals, which the invariants are about.
  cr_assert(sum.shifted * 50 > sum.choices);
  cr_assert(sum.refused * 50 > sum.choices);
}

}  // namespace wagtailpick::routing
