#include "base/verdict.h"

#include <criterion/criterion.h>

using wagtailpick::base::Combine;
using wagtailpick::base::ParseVerdict;
using wagtailpick::base::ToString;
using wagtailpick::base::Verdict;

// Guards against a retry after which a request that may have run is reported as not run.
Test(verdict, combine_returns_the_verdict_that_allows_for_more_effects) {
  cr_assert(Combine(Verdict::kMayHaveRun, Verdict::kNotRun) == Verdict::kMayHaveRun);
  cr_assert(Combine(Verdict::kNotRun, Verdict::kMayHaveRun) == Verdict::kMayHaveRun);
  cr_assert(Combine(Verdict::kNotRun, Verdict::kNotRun) == Verdict::kNotRun);
}

// Guards against a verdict whose name the next hop cannot parse.
Test(verdict, every_name_parses_to_its_own_verdict) {
  for (const Verdict verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
    cr_assert(ParseVerdict(ToString(verdict)) == verdict);
  }
  cr_assert(!ParseVerdict("unknown").has_value());
}
