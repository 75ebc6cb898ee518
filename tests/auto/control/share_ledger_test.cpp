#include "control/share_ledger.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <random>

#include "control/share_division.h"
#include "share_simulation.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wagtailpick::base::MonotonicTime;
using wagtailpick::control::DivideShares;
using wagtailpick::control::PoolKey;
using wagtailpick::control::ServiceShare;
using wagtailpick::control::SessionId;
using wagtailpick::control::ShareDemand;
using wagtailpick::control::ShareKind;
using wagtailpick::control::ShareLedger;
using wagtailpick::control::ShareSimulation;
using wagtailpick::control::ShareSimulationOptions;

const PoolKey cap_pool{ShareKind::kShiftCap, "payment", "mvd", "pde"};
const PoolKey link_pool{ShareKind::kLinkBytes, "", "mvd", "pde"};

MonotonicTime At(int millis) { return MonotonicTime(milliseconds(millis)); }

std::uint64_t RequestShare(ShareLedger& ledger, SessionId session, std::uint64_t units, int at,
                           ShareKind kind = ShareKind::kShiftCap, const char* service = "payment") {
  const std::vector<ServiceShare> demands{{kind, service, "mvd", "pde", units}};
  return ledger.Renew(session, demands, At(at))[0].units;
}

std::uint64_t CapExceeded(std::uint64_t seeds, const ShareSimulationOptions& options) {
  std::uint64_t exceeded = 0;
  std::uint64_t admitted = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto tally = ShareSimulation(seed, options).Run(seconds(40));
    exceeded += tally.cap_exceeded;
    admitted += tally.admitted;
  }
  cr_assert_gt(admitted, 50 * seeds, "too few requests were admitted to test the cap");
  return exceeded;
}

}  // namespace

// Guards against a shift above its cap in any window (P1).
Test(share_ledger, holders_together_never_exceed_the_cap) {
  cr_assert_eq(CapExceeded(200, {}), 0U);
}

// Checks that the simulation detects a missing wait or margin.
Test(share_ledger, simulation_detects_a_missing_wait_or_margin) {
  ShareSimulationOptions no_window;
  no_window.leader_times.window = milliseconds(0);
  cr_assert_gt(CapExceeded(20, no_window), 0U, "no wait for the window");
  ShareSimulationOptions no_lease;
  no_lease.leader_times.lease = milliseconds(500);
  cr_assert_gt(CapExceeded(20, no_lease), 0U, "no wait for the lease");
  ShareSimulationOptions no_election_wait;
  no_election_wait.wait_at_election = false;
  cr_assert_gt(CapExceeded(20, no_election_wait), 0U, "no wait at the election");
  ShareSimulationOptions plain_window;
  plain_window.lengthen_holder_window = false;
  cr_assert_gt(CapExceeded(20, plain_window), 0U, "no margin in the holder's window");
}

// Guards against reserved units that differ from the shares granted, and against grants that exceed
// the cap.
Test(share_ledger, agrees_with_a_list_of_all_grants) {
  struct Grant {
    SessionId session;
    std::uint64_t units;
    MonotonicTime until;
  };
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    ShareLedger ledger;
    std::uint64_t cap = 10;
    ledger.Reset(At(0));
    ledger.SetLimits({{{cap_pool, cap}}, {}}, At(0));
    std::vector<Grant> grants;
    int now = 3'030;
    for (int step = 0; step < 200; ++step) {
      now += static_cast<int>(random() % 200);
      if (random() % 40 == 0) ledger.SetLimits({{{cap_pool, cap = random() % 20}}, {}}, At(now));
      const SessionId session = 1 + random() % 5;
      const std::uint64_t demand = random() % 8;
      const std::uint64_t units = RequestShare(ledger, session, demand, now);
      grants.push_back({session, units, At(now + 3'030)});
      std::map<SessionId, std::uint64_t> bound;
      for (const auto& grant : grants) {
        if (grant.until <= At(now)) continue;
        bound[grant.session] = std::max(bound[grant.session], grant.units);
      }
      std::uint64_t sum = 0;
      for (const auto& [holder, most] : bound) sum += most;
      // After a cap is lowered, older shares stay reserved, including the session's own.
      const std::uint64_t others = sum - bound[session];
      cr_assert_eq(ledger.ReservedUnits(cap_pool, At(now)), sum, "seed %lu step %d", seed, step);
      cr_assert_leq(units, demand);
      cr_assert(units == 0 || others + units <= cap, "seed %lu step %d", seed, step);
    }
  }
}

// Guards against units that stay unused, or an unfair division, while demands are constant.
Test(share_ledger, steady_demands_get_the_whole_cap_in_fair_whole_units) {
  ShareLedger ledger;
  ledger.Reset(At(0));
  ledger.SetLimits({{{cap_pool, 11}}, {}}, At(0));
  std::vector<std::uint64_t> shares(4);
  for (int now = 0; now < 12'000; now += 250) {
    shares = {RequestShare(ledger, 1, 2, now), RequestShare(ledger, 2, 9, now),
              RequestShare(ledger, 3, 9, now), RequestShare(ledger, 4, 0, now)};
    if (now < 3'030) cr_assert_eq(shares[0] + shares[1] + shares[2], 0U);
  }
  cr_assert(shares == (std::vector<std::uint64_t>{2, 4, 5, 0}));
}

// Guards against a cap that is never used because it is smaller than the number of entries.
Test(share_ledger, a_cap_below_the_number_of_holders_is_fully_granted) {
  ShareLedger ledger;
  ledger.Reset(At(0));
  ledger.SetLimits({{{cap_pool, 3}}, {}}, At(0));
  std::uint64_t sum = 0;
  for (int now = 3'030; now < 9'000; now += 250) {
    sum = 0;
    for (SessionId session = 1; session <= 10; ++session) {
      sum += RequestShare(ledger, session, 5, now);
    }
  }
  cr_assert_eq(sum, 3U);
}

// Guards against a link whose bytes are granted to a low priority while a higher one has demand.
Test(share_ledger, link_bytes_go_to_the_highest_priority_first) {
  ShareLedger ledger;
  ledger.Reset(At(0));
  ledger.SetLimits({{{link_pool, 1'000}}, {{"payment", 9}, {"photos", 1}}}, At(0));
  std::uint64_t payment = 0;
  std::uint64_t photos = 0;
  for (int now = 3'030; now < 12'000; now += 250) {
    photos = RequestShare(ledger, 1, 900, now, ShareKind::kLinkBytes, "photos");
    payment = RequestShare(ledger, 2, 700, now, ShareKind::kLinkBytes, "payment");
  }
  cr_assert_eq(payment, 700U);
  cr_assert_eq(photos, 300U);
}

// Guards against unused units, and against shares that could be more equal.
Test(share_division, divides_everything_and_maximises_the_smallest_share) {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<ShareDemand> demands(1 + random() % 8);
    for (auto& demand : demands) demand = {1 + static_cast<int>(random() % 2), random() % 10};
    std::uint64_t left = random() % 40;
    const auto shares = DivideShares(left, demands);
    for (const int priority : {2, 1}) {
      std::uint64_t wanted = 0;
      std::uint64_t given = 0;
      for (std::size_t i = 0; i < demands.size(); ++i) {
        if (demands[i].priority != priority) continue;
        wanted += demands[i].units;
        given += shares[i];
        cr_assert_leq(shares[i], demands[i].units);
        if (shares[i] == demands[i].units) continue;
        for (std::size_t j = 0; j < demands.size(); ++j) {
          if (demands[j].priority == priority) cr_assert_leq(shares[j], shares[i] + 1);
        }
      }
      cr_assert_eq(given, std::min(wanted, left), "seed %lu", seed);
      left -= given;
    }
  }
}
