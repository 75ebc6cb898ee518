#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "control/share_ledger.h"
#include "event_simulator.h"

namespace wagtailpick::control {

/// What a run of shares is made of; the defaults are the real rules.
struct ShareSimulationOptions {
  /// Terms of the leaders. Holders always use the real ones.
  LeaseTimes leader_times;
  /// Whether a new leader waits for the shares of earlier ones to run out.
  bool wait_at_election = true;
  /// Whether holders count admitted requests over the stretched window.
  bool lengthen_holder_window = true;
};

struct ShareSimulationTally {
  std::uint64_t events = 0;
  std::uint64_t admitted = 0;
  std::uint64_t cap_exceeded = 0;
};

/// Several holders that admit all that their shares allow, three replicas that take turns as
/// leader, lost and late messages, clocks that run up to 1% fast or slow, and a cap that changes.
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
    // Goes on admitting by its last share, but reaches no leader.
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
