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

// Guards against a slot given without the lease, past the deadline bounds, or to an upstream that
// must not get work; and against a refusal that names the wrong reason.
Test(slot_table, refusals) {
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
// taken when it can't.
Test(slot_table, a_slot_in_doubt_is_kept_until_the_deadline) {
  using enum SlotOutcome;
  for (const SlotOutcome outcome :
       {kAnswered, kErrorAnswer, kShed, kNotSent, kConnectRefused, kTimedOut, kCancelled, kLost}) {
    Fixture fixture;
    const SlotTicket ticket = fixture.Acquire(0, 700).ticket;
    cr_expect(fixture.End(ticket, 10, outcome));
    cr_expect(!fixture.End(ticket, 20), "a ticket ends once");
    const std::uint32_t kept = LeavesSlotInDoubt(outcome) ? 1 : 0;
    cr_expect(fixture.Counts(799).in_doubt == kept, "%s", ToString(outcome).data());
    cr_expect(fixture.Counts(799).free == 3 - kept);
    cr_expect(fixture.Counts(800).free == 3);
  }
}

// Guards against a ticket that outlives its slot or its table entry and frees somebody else's.
Test(slot_table, stale_tickets_change_nothing) {
  Fixture fixture;
  const SlotTicket old = fixture.Acquire(0, 100).ticket;
  cr_expect(fixture.Acquire(200, 1'050).ticket.deadline_unix_ms == kStartMs + 1'200);
  cr_expect(!fixture.End(old, 210), "expired at 200");
  cr_expect(fixture.Counts(210).busy == 1);
  fixture.table.EndOwnership(kAddress, 1);
  cr_expect(fixture.table.Grant({kAddress, "payment", "mvd-1", 1, 1, false, true}, At(220)) ==
                GrantEffect::kOldGrant,
            "a late copy of an ended record");
  cr_expect(fixture.table.Grant({kAddress, "payment", "mvd-1", 2, 1, false, true}, At(220)) ==
            GrantEffect::kGranted);
  fixture.Announce(230, "up");
  const SlotTicket current = fixture.Acquire(240).ticket;
  for (SlotTicket stale : {old, SlotTicket{}, SlotTicket{99, 0, 1, 0, 0}}) {
    cr_expect(!fixture.End(stale, 250));
  }
  cr_expect(fixture.End(current, 250));
}

// Guards against a request that a paused sender delivers to the restarted process on top of its
// full slots.
Test(slot_table, a_restart_keeps_slots_whose_requests_can_still_arrive) {
  Fixture fixture;
  fixture.Acquire(0, 900);
  fixture.Acquire(0, 900);
  fixture.Announce(100, "up", 2);
  cr_expect(fixture.Counts(100).busy == 2);
  cr_expect(fixture.Counts(100).free == 1, "one slot of the cold process");
  const SlotTicket ticket = fixture.Acquire(110, 200).ticket;
  cr_expect(!fixture.Acquire(110), "cold");
  cr_expect(fixture.End(ticket, 120));
  cr_expect(fixture.Counts(1'000).busy == 0);
  cr_expect(fixture.Counts(1'000).free == 1);
}

// Guards against use of slots that an earlier owner's requests may hold: the wait covers a clock
// that runs 1% fast and the longest deadline of any earlier bundle.
Test(slot_table, quarantine_outlasts_the_longest_deadline) {
  Fixture fixture(true);
  fixture.table.SetService("payment", {3, 1'000, 10'000, 20});
  for (std::int64_t ms = 500; ms <= 10'500; ms += 500) {
    fixture.Renew(ms);
    fixture.Announce(ms, "up", 1 + ms / 5'000);
  }
  // The earlier owner's wall clock was 49 ms ahead and the upstream's is 49 ms behind, so that a
  // request of 10 s ends 10,098 ms after the takeover; this clock shows 10,198 ms by then.
  cr_expect(fixture.Acquire(10'198).refusal == Refusal::kQuarantine);
  cr_expect(!fixture.table.IsIdle(kAddress, At(10'198)));
  cr_expect(fixture.Acquire(10'201).refusal == Refusal::kNone);
}

// Guards against work that a paused sender delivers after the upstream has left.
Test(slot_table, a_ticket_says_by_when_the_request_has_to_start) {
  Fixture fixture;
  cr_expect(fixture.Acquire(100, 300).ticket.start_by_unix_ms == kStartMs + 400);
  cr_expect(fixture.Acquire(1'800, 900).ticket.start_by_unix_ms == kStartMs + 2'000);
}

// Guards against a slot count that is lowered while requests run, and against a report that raises
// what the owner offers.
Test(slot_table, slot_count_and_reported_load_only_lower_the_offer) {
  Fixture fixture;
  const SlotTicket first = fixture.Acquire(0, 900).ticket;
  fixture.Acquire(0, 900);
  fixture.Announce(100, "up", 1, 1);
  cr_expect(!fixture.Acquire(110));
  fixture.End(first, 120);
  cr_expect(!fixture.Acquire(130), "one still runs");
  fixture.Announce(200, "up", 1, 9);
  cr_expect(fixture.Counts(200).free == 2, "the bundle allows 3");
  fixture.Announce(300, "up", 1, 3, 3);
  cr_expect(fixture.Counts(300).free == 1, "1 request of unknown origin, 1 of ours");
  fixture.Announce(400, "up", 1, 3, 0);
  cr_expect(fixture.Counts(400).free == 2, "a low report frees nothing");
}

// Guards against a drain whose end is reported early, twice or never.
Test(slot_table, idle_notice_gives_the_drain_time) {
  Fixture fixture;
  const SlotTicket ticket = fixture.Acquire(0).ticket;
  const SlotTicket lost = fixture.Acquire(0, 300).ticket;
  fixture.Announce(50, "leaving");
  cr_expect(fixture.table.Tick(At(60)).empty());
  fixture.End(lost, 70, SlotOutcome::kLost);
  fixture.End(ticket, 80);
  cr_expect(fixture.table.Tick(At(399)).empty(), "one request may still run");
  const auto notices = fixture.table.Tick(At(400));
  cr_assert(notices.size() == 1);
  cr_expect(notices[0].drain_started == At(50).monotonic);
  cr_expect(notices[0].idle_since == At(400).monotonic);
  cr_expect(fixture.table.Tick(At(500)).empty());
}

// Guards against a shift that takes the last slots of a place.
Test(slot_table, shifted_requests_leave_the_headroom_free) {
  Fixture fixture;
  fixture.table.SetService("payment", {3, 1'000, 1'000, 60});
  cr_expect(fixture.Acquire(0, 500, true).refusal == Refusal::kNone);
  cr_expect(fixture.Acquire(0, 500, true).refusal == Refusal::kNone, "2 of 3 are 67 percent");
  cr_expect(fixture.Acquire(0, 500, true).refusal == Refusal::kShiftHeadroom);
  cr_expect(fixture.Acquire(0, 500, false).refusal == Refusal::kNone);
}

// Guards against an upstream with errors that keeps its work, and against ejecting more than a
// third of a pool.
Test(slot_table, ejects_at_most_a_third) {
  for (const std::uint32_t elsewhere : {1U, 2U}) {
    Fixture fixture;
    fixture.table.SetRemoteStats({"payment", "mvd-1"}, {elsewhere, 0, {}});
    for (int i = 0; i < 11; ++i) {
      fixture.End(fixture.Acquire(10).ticket, 10, SlotOutcome::kErrorAnswer);
    }
    const Refusal expected = elsewhere == 2 ? Refusal::kEjected : Refusal::kNone;
    cr_expect(fixture.Acquire(20).refusal == expected);
  }
}

// Guards against a pool that gives its work to an upstream that can't take it.
Test(slot_table, a_pool_gives_the_upstream_with_most_free_slots) {
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
