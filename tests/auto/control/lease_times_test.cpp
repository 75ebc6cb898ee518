#include "control/lease_times.h"

#include <criterion/criterion.h>

#include "control/session_table.h"
#include "control/share_ledger.h"
#include "event_simulator.h"

namespace {

using std::chrono::milliseconds;
using wagtailpick::base::Duration;
using wagtailpick::control::DriftingClock;
using wagtailpick::control::LeaseTimes;
using wagtailpick::control::ServiceShare;
using wagtailpick::control::SessionId;
using wagtailpick::control::SessionTable;
using wagtailpick::control::ShareKind;
using wagtailpick::control::ShareLedger;

// Clock rates, at the limits of the assumed drift, of a leader and of a holder that renews at true
// time 0 without delay.
struct ClockPair {
  double holder;
  double leader;
};

constexpr ClockPair kClockPairs[] = {{0.99, 1.01}, {1.01, 0.99}, {0.99, 0.99}, {1.01, 1.01}};

// True time at which the lease ends for the holder.
Duration HolderLeaseEnd(const ClockPair& pair) {
  const double local = static_cast<double>(LeaseTimes{}.HolderLease().count());
  return Duration(static_cast<std::int64_t>(local / pair.holder));
}

// True time at which the leader first closes the session.
Duration SessionCloseTime(const ClockPair& pair, const LeaseTimes& terms) {
  const DriftingClock leader(pair.leader, Duration(0));
  SessionTable table(terms);
  table.Reset(std::vector<SessionId>{1}, leader.Read(Duration(0)));
  Duration now(0);
  while (table.CollectExpired(leader.Read(now)).empty()) now += milliseconds(1);
  return now;
}

// True time from the grant of the whole cap to one holder until another holder is granted units.
Duration ShareMoveTime(const ClockPair& pair, const LeaseTimes& terms) {
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

// Guards against a session that is closed, or a share that is granted to another holder, while a
// holder with a slow clock still uses it and the leader has a fast clock.
Test(lease_times, margins_cover_clocks_at_the_limits) {
  for (const auto& pair : kClockPairs) {
    cr_assert(SessionCloseTime(pair, {}) >= HolderLeaseEnd(pair));
    cr_assert(ShareMoveTime(pair, {}) >= HolderLeaseEnd(pair) + LeaseTimes{}.window);
  }
}

// Checks that the helper functions above detect a missing margin.
Test(lease_times, without_margin_a_lease_is_cut_short) {
  LeaseTimes plain;
  plain.max_clock_drift_percent = 0;
  cr_assert(SessionCloseTime(kClockPairs[0], plain) < HolderLeaseEnd(kClockPairs[0]));
  cr_assert(ShareMoveTime(kClockPairs[0], plain) < HolderLeaseEnd(kClockPairs[0]) + plain.window);
}
