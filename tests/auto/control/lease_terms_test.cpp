#include "control/lease_terms.h"

#include <criterion/criterion.h>

#include "control/session_table.h"
#include "control/share_ledger.h"
#include "simulation.h"

namespace {

using std::chrono::milliseconds;
using wagtailpick::base::Duration;
using wagtailpick::control::DriftingClock;
using wagtailpick::control::LeaseTerms;
using wagtailpick::control::ServiceShare;
using wagtailpick::control::SessionId;
using wagtailpick::control::SessionTable;
using wagtailpick::control::ShareKind;
using wagtailpick::control::ShareLedger;

// A holder that renews at true time 0 without delay, and a leader; their clocks are at the limits
// of the assumed rates.
struct ClockPair {
  double holder;
  double leader;
};

constexpr ClockPair kClockPairs[] = {{0.99, 1.01}, {1.01, 0.99}, {0.99, 0.99}, {1.01, 1.01}};

// True time at which a holder stops counting on the lease.
Duration HolderStops(const ClockPair& pair) {
  const double local = static_cast<double>(LeaseTerms{}.HolderLease().count());
  return Duration(static_cast<std::int64_t>(local / pair.holder));
}

// True time at which the leader first closes the session.
Duration SessionCloses(const ClockPair& pair, const LeaseTerms& terms) {
  const DriftingClock leader(pair.leader, Duration(0));
  SessionTable table(terms);
  table.Reset(std::vector<SessionId>{1}, leader.Read(Duration(0)));
  Duration now(0);
  while (table.TakeExpired(leader.Read(now)).empty()) now += milliseconds(1);
  return now;
}

// True time from a grant of the whole cap until another holder gets a part of it.
Duration ShareMoves(const ClockPair& pair, const LeaseTerms& terms) {
  const DriftingClock leader(pair.leader, Duration(0));
  ShareLedger ledger(terms);
  ledger.SetLimits({{{{ShareKind::kShiftCap, "s", "a", "b"}, 1}}, {}}, leader.Read(Duration(0)));
  ledger.Reset(leader.Read(Duration(0)));
  const std::vector<ServiceShare> demand{{ShareKind::kShiftCap, "s", "a", "b", 1}};
  const auto units = [&](SessionId session, Duration at) {
    return ledger.Renew(session, demand, leader.Read(at))[0].units;
  };
  Duration granted(0);
  while (units(1, granted) == 0) granted += milliseconds(1);
  Duration now = granted;
  while (units(2, now) == 0) now += milliseconds(1);
  return now - granted;
}

}  // namespace

// Guards against a session that ends, or a share that moves, while a holder with a slow clock still
// uses it under a leader with a fast one.
Test(lease_terms, margins_cover_clocks_at_the_limits) {
  for (const auto& pair : kClockPairs) {
    cr_assert(SessionCloses(pair, {}) >= HolderStops(pair));
    cr_assert(ShareMoves(pair, {}) >= HolderStops(pair) + LeaseTerms{}.window);
  }
}

// Guards against checks that couldn't notice a missing margin.
Test(lease_terms, without_margin_a_lease_is_cut_short) {
  LeaseTerms plain;
  plain.clock_rate_percent = 0;
  cr_assert(SessionCloses(kClockPairs[0], plain) < HolderStops(kClockPairs[0]));
  cr_assert(ShareMoves(kClockPairs[0], plain) < HolderStops(kClockPairs[0]) + plain.window);
}
