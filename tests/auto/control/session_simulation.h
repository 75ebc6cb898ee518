#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "control/control_state.h"
#include "control/session_table.h"
#include "event_simulator.h"

namespace wagtailpick::control {

/// Options of a run. The defaults are the production rules; other values break one of them.
struct SessionSimulationOptions {
  /// Times that the leaders use. Holders always use the defaults.
  LeaseTimes leader_times;
  /// Whether a new leader treats every session as renewed at its election.
  bool renew_at_election = true;
  double drift_percent = 1.0;
};

struct SessionSimulationTally {
  std::uint64_t events = 0;
  std::uint64_t grants = 0;
  std::uint64_t closed_sessions = 0;
  /// Sessions that were closed while their holder still treated the lease as valid.
  std::uint64_t lease_cut_short = 0;
  /// Upstreams that two holders used at the same time.
  std::uint64_t owned_twice = 0;
  /// Grants without a quarantine although requests of an earlier owner may still run.
  std::uint64_t missing_quarantine = 0;
};

/// Simulates entries that own upstreams, pause, resume and restart, and three replicas of which a
/// changing one leads. Messages are lost or delayed and clocks run up to 1% fast or slow.
class SessionSimulation {
 public:
  SessionSimulation(std::uint64_t seed, SessionSimulationOptions options);

  /// Runs for `length` of true time and returns what was counted.
  SessionSimulationTally Run(base::Duration length);

 private:
  struct Holder {
    std::string vm;
    DriftingClock clock;
    std::uint64_t incarnation = 1;
    SessionId session = 0;
    base::MonotonicTime lease_ends;
    bool paused = false;
    // Upstreams that the holder treats as its own in its session, with the epochs of the grants.
    std::map<std::size_t, std::uint64_t> owned;
  };

  struct Replica {
    DriftingClock clock;
    SessionTable table;
  };

  void ChangeLeader();
  void Propose(Command command, Holder* holder);
  void Commit(const Command& command, Holder* holder);
  void OnOpened(const SessionOutcome& outcome, Holder* holder);
  void OnGranted(const GrantOwnership& command, const OwnershipOutcome& outcome, Holder* holder);
  void CheckClosed(SessionId session);
  void CloseExpired();
  void Act(Holder& holder);
  void Renew(Holder& holder);
  void Open(Holder& holder);
  void RequestOwnership(Holder& holder);
  void ReleaseOne(Holder& holder);
  void Restart(Holder& holder);
  void CheckOwners();
  bool LeaseHolds(const Holder& holder) const;
  base::MonotonicTime LeaderTime() const;

  EventSimulator simulator_;
  SessionSimulationOptions options_;
  std::vector<Holder> holders_;
  std::vector<Replica> replicas_;
  std::optional<std::size_t> leader_;
  std::uint64_t term_ = 0;
  ControlState state_;
  // Upstreams where requests of an earlier owner may still run.
  std::map<std::size_t, bool> may_have_requests_;
  SessionSimulationTally tally_;
};

}  // namespace wagtailpick::control
