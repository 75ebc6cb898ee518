#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "control/share_ledger.h"
#include "event_simulator.h"

namespace wagtailpick::control {

/// Options of a run. The defaults are the production rules; other values break one of them.
struct ShareSimulationOptions {
  /// Times that the leaders use. Holders always use the defaults.
  LeaseTimes leader_times;
  /// Whether a new leader waits until the shares of earlier leaders have expired.
  bool wait_at_election = true;
  /// Whether holders count admitted requests over a window lengthened for clock drift.
  bool lengthen_holder_window = true;
};

struct ShareSimulationTally {
  std::uint64_t events = 0;
  std::uint64_t admitted = 0;
  std::uint64_t cap_exceeded = 0;
};

/// Simulates holders that admit all that their shares allow, three replicas of which a changing one
/// leads, and a cap that changes. Messages are lost or delayed and clocks run up to 1% fast or
/// slow.
class ShareSimulation {
 public:
  ShareSimulation(std::uint64_t seed, ShareSimulationOptions options);

  /// Runs for `length` of true time and returns what was counted.
  ShareSimulationTally Run(base::Duration length);

 private:
  struct Holder {
    SessionId session = 0;
    DriftingClock clock;
    std::uint64_t demand = 0;
    // The holder reaches no leader; it continues to admit requests by its last share.
    bool partitioned = false;
    std::uint64_t share = 0;
    base::MonotonicTime share_sent;
    std::deque<base::MonotonicTime> admission_times;
  };

  struct Replica {
    DriftingClock clock;
    ShareLedger ledger;
  };

  struct Cap {
    base::Duration since{0};
    std::uint64_t units = 0;
  };

  void SetCap(std::uint64_t units);
  void ChangeLeader();
  void SendRenewal(Holder& holder);
  void HandleRenewal(Holder& holder, base::MonotonicTime sent);
  void ApplyShare(Holder& holder, std::uint64_t units, base::MonotonicTime sent);
  void Admit(Holder& holder);
  void CheckWindow();
  std::uint64_t AllowedNow() const;

  EventSimulator simulator_;
  ShareSimulationOptions options_;
  std::vector<Holder> holders_;
  std::vector<Replica> replicas_;
  std::optional<std::size_t> leader_;
  std::vector<Cap> caps_;
  std::deque<base::Duration> admitted_;
  ShareSimulationTally tally_;
};

}  // namespace wagtailpick::control
