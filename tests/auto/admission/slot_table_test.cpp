#include "admission/slot_table.h"

#include <criterion/criterion.h>

#include <functional>
#include <string>
#include <vector>

#include "slot_table_fixture.h"

namespace wagtailpick::admission {

using Fixture = SlotTableFixture;

namespace {

struct RefusalCase {
  Refusal expected;
  std::int64_t at_ms;
  std::int64_t deadline_in_ms;
  std::function<void(Fixture&)> prepare;
};

}  // namespace

// Guards against a slot that is given without a lease, for a deadline out of bounds or at an
// upstream that must not get requests, and against a refusal with the wrong reason.
Test(slot_table, refuses_with_the_right_reason) {
  const PoolKey pool{"payment", "mvd-1"};
  const auto nothing = [](Fixture&) {};
  const std::vector<RefusalCase> cases = {
      {Refusal::kNone, 1'899, 500, nothing},
      {Refusal::kNoLease, 1'980, 500, [](auto& f) { f.Announce(1'900, "up"); }},
      {Refusal::kNoLease, 10, 500, [](auto& f) { f.lease.StartSession(2), f.Renew(0); }},
      {Refusal::kDeadlinePassed, 10, 0, nothing},
      {Refusal::kNone, 10, 1'099, nothing},
      {Refusal::kDeadlineTooLate, 10, 1'100, nothing},
      {Refusal::kSilent, 1'900, 500, nothing},
      {Refusal::kDraining, 20, 500, [](auto& f) { f.Announce(10, "draining"); }},
      {Refusal::kDraining, 20, 500, [](auto& f) { f.Announce(10, "leaving"); }},
      {Refusal::kDraining, 20, 500, [&](auto& f) { f.table.SetDrained(pool, true, At(10)); }},
      {Refusal::kDraining, 20, 500, [](auto& f) { f.table.BeginHandover(kAddress, At(10)); }},
      {Refusal::kUnknownService, 20, 500, [](auto& f) { f.table.RemoveService("payment"); }},
      {Refusal::kNotOwned, 20, 500, [](auto& f) { f.table.EndOwnership(kAddress, 1); }},
      {Refusal::kNone, 20, 500, [](auto& f) { f.table.EndOwnership(kAddress, 2); }},
      {Refusal::kNoFreeSlot, 20, 500, [](auto& f) { f.Acquire(1), f.Acquire(1), f.Acquire(1); }},
      {Refusal::kNoFreeSlot, 20, 500, [](auto& f) { f.Announce(10, "up", 1, 3, 3); }},
  };
  for (std::size_t i = 0; i < cases.size(); ++i) {
    Fixture fixture;
    cases[i].prepare(fixture);
    const Refusal refusal = fixture.Acquire(cases[i].at_ms, cases[i].deadline_in_ms).refusal;
    cr_expect(refusal == cases[i].expected, "case %zu: %s", i,
              std::string(ToString(refusal)).c_str());
  }
}

// Guards against a slot that is freed while its request may still run, and against one that stays
// taken when its request has ended.
Test(slot_table, slot_in_doubt_stays_taken_until_the_deadline) {
  using enum SlotOutcome;
  for (const SlotOutcome outcome :
       {kAnswered, kErrorAnswer, kShed, kNotSent, kConnectRefused, kTimedOut, kCancelled, kLost}) {
    Fixture fixture;
    const SlotTicket ticket = fixture.Acquire(0, 700).ticket;
    cr_expect(fixture.Release(ticket, 10, outcome));
    cr_expect(!fixture.Release(ticket, 20), "a ticket can be released only once");
    const std::uint32_t kept = LeavesSlotInDoubt(outcome) ? 1 : 0;
    cr_expect(fixture.Counts(799).in_doubt == kept, "%s", ToString(outcome).data());
    cr_expect(fixture.Counts(799).free == 3 - kept);
    cr_expect(fixture.Counts(800).free == 3);
  }
}

// Guards against a ticket that outlives its slot or its upstream's ownership and then frees the
// slot of another request.
Test(slot_table, stale_tickets_change_nothing) {
  Fixture fixture;
  const SlotTicket old = fixture.Acquire(0, 100).ticket;
  cr_expect(fixture.Acquire(200, 1'050).ticket.deadline_unix_ms == kStartMs + 1'200);
  cr_expect(!fixture.Release(old, 210), "expired at 200");
  cr_expect(fixture.Counts(210).busy == 1);
  fixture.table.EndOwnership(kAddress, 1);
  cr_expect(fixture.table.Grant({kAddress, "payment", "mvd-1", 1, 1, false, true}, At(220)) ==
                GrantEffect::kOldGrant,
            "a late copy of an ended grant");
  cr_expect(fixture.table.Grant({kAddress, "payment", "mvd-1", 2, 1, false, true}, At(220)) ==
            GrantEffect::kGranted);
  fixture.Announce(230, "up");
  const SlotTicket current = fixture.Acquire(240).ticket;
  for (SlotTicket stale : {old, SlotTicket{}, SlotTicket{99, 0, 1, 0, 0}}) {
    cr_expect(!fixture.Release(stale, 250));
  }
  cr_expect(fixture.Release(current, 250));
}

// Guards against overload of a restarted upstream: a request that was given a slot before the
// restart, but whose sender was paused, can still arrive there.
Test(slot_table, restart_keeps_slots_whose_requests_can_still_arrive) {
  Fixture fixture;
  fixture.Acquire(0, 900);
  fixture.Acquire(0, 900);
  fixture.Announce(100, "up", 2);
  cr_expect(fixture.Counts(100).busy == 2);
  cr_expect(fixture.Counts(100).free == 1, "a cold upstream starts with one slot");
  const SlotTicket ticket = fixture.Acquire(110, 200).ticket;
  cr_expect(!fixture.Acquire(110), "cold");
  cr_expect(fixture.Release(ticket, 120));
  cr_expect(fixture.Counts(1'000).busy == 0);
  cr_expect(fixture.Counts(1'000).free == 1);
}

// Guards against the use of slots in which requests of an earlier owner may still run. The
// quarantine covers a clock that runs 1% fast and the longest deadline of any earlier bundle.
Test(slot_table, quarantine_outlasts_the_longest_deadline) {
  Fixture fixture(true);
  fixture.table.SetService("payment", {3, 1'000, 10'000, 20});
  for (std::int64_t ms = 500; ms <= 10'500; ms += 500) {
    fixture.Renew(ms);
    fixture.Announce(ms, "up", 1 + ms / 5'000);
  }
  // With the earlier owner's wall clock 49 ms ahead and the upstream's 49 ms behind, a request of
  // 10 s ends 10,098 ms after the takeover. The new owner's clock, 1% fast, shows 10,198 ms then.
  cr_expect(fixture.Acquire(10'198).refusal == Refusal::kQuarantine);
  cr_expect(!fixture.table.IsIdle(kAddress, At(10'198)));
  cr_expect(fixture.Acquire(10'201).refusal == Refusal::kNone);
}

// Guards against a request that a paused sender delivers after the upstream has left.
Test(slot_table, ticket_limits_the_start_time_of_the_request) {
  Fixture fixture;
  cr_expect(fixture.Acquire(100, 300).ticket.start_by_unix_ms == kStartMs + 400);
  cr_expect(fixture.Acquire(1'800, 900).ticket.start_by_unix_ms == kStartMs + 2'000);
}

// Guards against wrong counts when an upstream lowers its number of slots while requests run, and
// against a reported load that adds free slots.
Test(slot_table, slot_count_and_reported_load_only_lower_the_free_slots) {
  Fixture fixture;
  const SlotTicket first = fixture.Acquire(0, 900).ticket;
  fixture.Acquire(0, 900);
  fixture.Announce(100, "up", 1, 1);
  cr_expect(!fixture.Acquire(110));
  fixture.Release(first, 120);
  cr_expect(!fixture.Acquire(130), "one request still runs");
  fixture.Announce(200, "up", 1, 9);
  cr_expect(fixture.Counts(200).free == 2, "the bundle allows 3 slots");
  fixture.Announce(300, "up", 1, 3, 3);
  cr_expect(fixture.Counts(300).free == 1, "1 request of this entry, 1 of unknown origin");
  fixture.Announce(400, "up", 1, 3, 0);
  cr_expect(fixture.Counts(400).free == 2, "a lower reported load frees no slot");
}

// Guards against a drain whose end is reported too early, twice or never.
Test(slot_table, idle_notice_contains_start_and_end_of_the_drain) {
  Fixture fixture;
  const SlotTicket ticket = fixture.Acquire(0).ticket;
  const SlotTicket lost = fixture.Acquire(0, 300).ticket;
  fixture.Announce(50, "leaving");
  cr_expect(fixture.table.Tick(At(60)).empty());
  fixture.Release(lost, 70, SlotOutcome::kLost);
  fixture.Release(ticket, 80);
  cr_expect(fixture.table.Tick(At(399)).empty(), "one request may still run");
  const auto notices = fixture.table.Tick(At(400));
  cr_assert(notices.size() == 1);
  cr_expect(notices[0].drain_started == At(50).monotonic);
  cr_expect(notices[0].idle_since == At(400).monotonic);
  cr_expect(fixture.table.Tick(At(500)).empty());
}

// Guards against shifted requests that take the last free slots of a data centre.
Test(slot_table, shifted_requests_leave_the_headroom_free) {
  Fixture fixture;
  fixture.table.SetService("payment", {3, 1'000, 1'000, 60});
  cr_expect(fixture.Acquire(0, 500, true).refusal == Refusal::kNone);
  cr_expect(fixture.Acquire(0, 500, true).refusal == Refusal::kNone,
            "2 of 3 free slots are 67 percent");
  cr_expect(fixture.Acquire(0, 500, true).refusal == Refusal::kShiftHeadroom);
  cr_expect(fixture.Acquire(0, 500, false).refusal == Refusal::kNone);
}

// Guards against an upstream that keeps getting requests despite its errors, and against the
// ejection of more than a third of a pool.
Test(slot_table, ejects_at_most_a_third) {
  for (const std::uint32_t others : {1U, 2U}) {
    Fixture fixture;
    for (std::uint32_t i = 1; i <= others; ++i) {
      const std::string address = "127.0.0.1:" + std::to_string(9'000 + i);
      fixture.table.Grant({address, "payment", "mvd-1", 2, i, true, true}, At(0));
    }
    for (int i = 0; i < 11; ++i) {
      fixture.Release(fixture.Acquire(10).ticket, 10, SlotOutcome::kErrorAnswer);
    }
    const Refusal expected = others == 2 ? Refusal::kEjected : Refusal::kNone;
    cr_expect(fixture.Acquire(20).refusal == expected);
  }
}

// Guards against choosing an upstream of a pool that has no free slot while another one has.
Test(slot_table, acquire_any_chooses_the_upstream_with_most_free_slots) {
  Fixture fixture;
  fixture.table.Grant({"127.0.0.1:9001", "payment", "mvd-1", 2, 1, true, true}, At(0));
  const SlotRequest request{kStartMs + 500, false};
  const PoolKey pool{"payment", "mvd-1"};
  const auto got = fixture.table.AcquireAny(pool, request, fixture.lease, At(1));
  cr_expect(got && fixture.table.Find(kAddress)->slots().taken() == 1);
  const auto none = fixture.table.AcquireAny({"payment", "x"}, request, fixture.lease, At(1));
  cr_expect(none.refusal == Refusal::kNotOwned);
}

}  // namespace wagtailpick::admission
