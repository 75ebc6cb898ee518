#include "slot_checker.h"

#include <criterion/criterion.h>

#include <array>

using wagtailpick::admission::CheckResult;
using wagtailpick::admission::CheckSlots;
using wagtailpick::admission::Fault;

namespace {

constexpr std::uint64_t kSeeds = 300;

CheckResult RunSeeds() {
  CheckResult sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const CheckResult result = CheckSlots(seed);
    sum.runs += result.runs;
    sum.handovers += result.handovers;
    sum.takeovers += result.takeovers;
    sum.slots_exceeded += result.slots_exceeded;
    sum.late_work += result.late_work;
    sum.late_tickets += result.late_tickets;
    if (result.violations() > 0) {
      cr_log_error("seed %lu: slots exceeded %lu, late work %lu, late tickets %lu\n", seed,
                   result.slots_exceeded, result.late_work, result.late_tickets);
    }
  }
  return sum;
}

struct FaultCase {
  Fault fault;
  const char* name;
  std::uint64_t CheckResult::*counter;
};

}  // namespace

// Guards against more requests at an upstream than it has slots, and against requests to an
// upstream that has announced that it leaves, under crashes, pauses, takeovers and late messages.
Test(slot_checker, no_schedule_exceeds_slots_or_starts_late_work) {
  const CheckResult sum = RunSeeds();
  cr_expect(sum.slots_exceeded == 0);
  cr_expect(sum.late_work == 0);
  cr_expect(sum.late_tickets == 0);
  cr_expect(sum.runs > 10 * kSeeds, "too few requests were run");
  cr_expect(sum.takeovers > kSeeds && 2 * sum.handovers > kSeeds);
}

// Guards against a checker that detects nothing: with each mechanism disabled, some schedule has to
// fail.
Test(slot_checker, each_mechanism_is_needed) {
  const std::array<FaultCase, 10> cases{{
      {Fault::kNoQuarantine, "no quarantine", &CheckResult::slots_exceeded},
      {Fault::kLeaseFromReply, "lease counted from the reply", &CheckResult::slots_exceeded},
      {Fault::kLeaseNeverEnds, "lease never ends", &CheckResult::slots_exceeded},
      {Fault::kExpiredRequestsRun, "expired requests run", &CheckResult::slots_exceeded},
      {Fault::kInDoubtFreesSlot, "slot in doubt is freed", &CheckResult::slots_exceeded},
      {Fault::kRestartFreesSlots, "restart frees slots", &CheckResult::slots_exceeded},
      {Fault::kBusyHandover, "handover while busy", &CheckResult::slots_exceeded},
      {Fault::kHandoverWithoutGrantId, "handover without grant id", &CheckResult::slots_exceeded},
      {Fault::kAgeFromReceipt, "age counted from receipt", &CheckResult::late_tickets},
      {Fault::kNoStartBy, "latest start time not checked", &CheckResult::late_work},
  }};
  for (const FaultCase& fault_case : cases) {
    std::uint64_t seed = 1;
    while (seed <= kSeeds && CheckSlots(seed, fault_case.fault).*fault_case.counter == 0) ++seed;
    cr_log_info("%s: detected at seed %lu\n", fault_case.name, seed);
    cr_expect(seed <= kSeeds, "%s was not detected", fault_case.name);
  }
}
