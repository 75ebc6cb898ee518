#include "share_checker.h"

#include <criterion/criterion.h>

#include <array>

using wagtailpick::admission::CheckShares;
using wagtailpick::admission::ShareFault;
using wagtailpick::admission::ShareResult;

namespace {

constexpr std::uint64_t kSeeds = 200;

ShareResult RunSeeds() {
  ShareResult sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const ShareResult result = CheckShares(seed);
    sum.admitted += result.admitted;
    sum.exceeded += result.exceeded;
  }
  return sum;
}

}  // namespace

// Guards against entries that together admit more than the cap in some window of real time.
Test(share_checker, no_window_exceeds_the_cap) {
  const ShareResult sum = RunSeeds();
  cr_expect(sum.exceeded == 0, "%lu of %lu admissions", sum.exceeded, sum.admitted);
  cr_expect(sum.admitted > 100 * kSeeds, "too little was admitted");
}

// Guards against a checker that detects nothing: with each rule disabled, some schedule has to
// fail.
Test(share_checker, each_rule_is_needed) {
  constexpr std::array kFaults{ShareFault::kNoWindowWait, ShareFault::kWindowTooShort,
                               ShareFault::kShareNeverExpires, ShareFault::kShareFromReply,
                               ShareFault::kRestartKeepsSession};
  for (const ShareFault fault : kFaults) {
    std::uint64_t seed = 1;
    while (seed <= kSeeds && CheckShares(seed, fault).exceeded == 0) ++seed;
    cr_log_info("fault %d: detected at seed %lu\n", static_cast<int>(fault), seed);
    cr_expect(seed <= kSeeds, "fault %d was not detected", static_cast<int>(fault));
  }
}
