#include "control/session_table.h"

#include <criterion/criterion.h>

#include "session_simulation.h"

using wagtailpick::base::MonotonicTime;
using wagtailpick::control::RenewVerdict;
using wagtailpick::control::SessionId;
using wagtailpick::control::SessionSimulation;
using wagtailpick::control::SessionSimulationOptions;
using wagtailpick::control::SessionSimulationTally;
using wagtailpick::control::SessionTable;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

MonotonicTime At(int millis) { return MonotonicTime(milliseconds(millis)); }

SessionSimulationTally RunSeeds(std::uint64_t seeds, const SessionSimulationOptions& options) {
  SessionSimulationTally sum;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto tally = SessionSimulation(seed, options).Run(seconds(30));
    sum.grants += tally.grants;
    sum.closed_sessions += tally.closed_sessions;
    sum.lease_cut_short += tally.lease_cut_short;
    sum.owned_twice += tally.owned_twice;
    sum.missing_quarantine += tally.missing_quarantine;
  }
  return sum;
}

}  // namespace

// Guards against two owners of an upstream at a time, and against a session that is closed while
// its holder still treats the lease as valid.
Test(session_table, no_lease_is_cut_short_and_no_upstream_is_owned_twice) {
  const auto tally = RunSeeds(200, {});
  cr_assert_gt(tally.grants, 1'000U);
  cr_assert_gt(tally.closed_sessions, 100U);
  cr_assert_eq(tally.lease_cut_short, 0U);
  cr_assert_eq(tally.owned_twice, 0U);
  cr_assert_eq(tally.missing_quarantine, 0U);
}

// Checks that the simulation detects leaders that break a rule.
Test(session_table, simulation_detects_a_missing_margin_and_a_missing_wait) {
  SessionSimulationOptions no_margin;
  no_margin.leader_times.lease = milliseconds(1'960);
  no_margin.leader_times.max_clock_drift_percent = 0;
  cr_assert_gt(RunSeeds(100, no_margin).lease_cut_short, 0U);
  SessionSimulationOptions no_renewal;
  no_renewal.renew_at_election = false;
  const auto tally = RunSeeds(100, no_renewal);
  cr_assert_gt(tally.lease_cut_short, 0U);
  cr_assert_gt(tally.owned_twice, 0U);
}

// Guards against a renewal that is accepted after the lease expired but before the session is
// closed.
Test(session_table, an_expired_lease_cannot_be_renewed) {
  SessionTable table;
  table.Reset(std::vector<SessionId>{1, 2, 3}, At(0));
  cr_assert(table.Renew(1, At(2'019)) == RenewVerdict::kRenewed);
  cr_assert(table.CollectExpired(At(2'019)).empty());
  cr_assert(table.CollectExpired(At(2'020)) == (std::vector<SessionId>{2, 3}));
  cr_assert(table.Renew(2, At(2'021)) == RenewVerdict::kExpired);
  cr_assert(table.CollectExpired(At(2'500)).empty(), "closing was already proposed");
  table.Remove(3);
  cr_assert(table.CollectExpired(At(3'020)) == std::vector<SessionId>{2},
            "the proposal may have been lost");
  cr_assert(table.Renew(3, At(3'021)) == RenewVerdict::kUnknown);
  cr_assert(table.Renew(1, At(4'100)) == RenewVerdict::kExpired);
}
