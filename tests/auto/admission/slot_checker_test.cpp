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
    const CheckResult one = CheckSlots(seed);
    sum.runs += one.runs;
    sum.handovers += one.handovers;
    sum.takeovers += one.takeovers;
    sum.slots_exceeded += one.slots_exceeded;
    sum.late_work += one.late_work;
    sum.late_tickets += one.late_tickets;
    if (one.violations() > 0) {
      cr_log_error("seed %lu: slots %lu, late work %lu, late tickets %lu\n", seed,
                   one.slots_exceeded, one.late_work, one.late_tickets);
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

// Guards against work beyond an upstream's slots, and work to one that leaves, under any mix of
// crashes, pauses, takeovers and late messages.
Test(slot_checker, no_schedule_exceeds_slots_or_gives_late_work) {
  const CheckResult sum = RunSeeds();
  cr_expect(sum.slots_exceeded == 0);
  cr_expect(sum.late_work == 0);
  cr_expect(sum.late_tickets == 0);
  cr_expect(sum.runs > 10 * kSeeds, "the schedules run too little");
  cr_expect(sum.takeovers > kSeeds && 2 * sum.handovers > kSeeds);
}

// Guards against a checker that passes whatever the libraries do: without each mechanism some
// schedule has to fail.
Test(slot_checker, each_mechanism_is_needed) {
  const std::array<FaultCase, 10> cases{{
      {Fault::kNoQuarantine, "no quarantine", &CheckResult::slots_exceeded},
      {Fault::kLeaseFromReply, "lease counted from the reply", &CheckResult::slots_exceeded},
      {Fault::kLeaseNeverEnds, "lease never ends", &CheckResult::slots_exceeded},
      {Fault::kExpiredRequestsRun, "expired requests run", &CheckResult::slots_exceeded},
      {Fault::kDoubtFreesSlot, "doubt frees the slot", &CheckResult::slots_exceeded},
      {Fault::kRestartFreesSlots, "restart frees slots", &CheckResult::slots_exceeded},
      {Fault::kBusyHandover, "handover while busy", &CheckResult::slots_exceeded},
      {Fault::kHandoverWithoutGrantId, "handover without grant", &CheckResult::slots_exceeded},
      {Fault::kAgeFromReceipt, "age from receipt", &CheckResult::late_tickets},
      {Fault::kNoStartBy, "no start by", &CheckResult::late_work},
  }};
  for (const FaultCase& one : cases) {
    std::uint64_t seed = 1;
    while (seed <= kSeeds && CheckSlots(seed, one.fault).*one.counter == 0) ++seed;
    cr_log_info("%s: seen at seed %lu\n", one.name, seed);
    cr_expect(seed <= kSeeds, "%s went unnoticed", one.name);
  }
}
