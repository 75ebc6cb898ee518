#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "control/share_ledger.h"
#include "simulation.h"

namespace wagtailpick::control {

/// What a run of shares is made of; the defaults are the real rules.
struct ShareWorldOptions {
  /// Terms of the leaders. Holders always use the real ones.
  LeaseTerms leader_terms;
  /// Whether a new leader waits for the shares of earlier ones to run out.
  bool wait_at_election = true;
  /// Whether holders count admitted requests over the stretched window.
  bool stretch_holder_window = true;
};

struct ShareWorldTally {
  std::uint64_t events = 0;
  std::uint64_t admitted = 0;
  std::uint64_t cap_exceeded = 0;
};

/// Several holders that admit all that their shares allow, three replicas that take turns as
/// leader, lost and late messages, clocks that run up to 1% fast or slow, and a cap that changes.
class ShareWorld {
 public:
  ShareWorld(std::uint64_t seed, ShareWorldOptions options);

  /// Runs for `length` of true time and returns what was counted.
  ShareWorldTally Run(base::Duration length);

 private:
  struct Holder {
    SessionId session = 0;
    DriftingClock clock;
    std::uint64_t demand = 0;
    // Goes on admitting by its last share, but reaches no leader.
    bool cut_off = false;
    std::uint64_t share = 0;
    base::MonotonicTime share_sent;
    std::deque<base::MonotonicTime> ring;
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
  void TakeShare(Holder& holder, std::uint64_t units, base::MonotonicTime sent);
  void Admit(Holder& holder);
  void CheckWindow();
  std::uint64_t AllowedNow() const;

  Simulation simulation_;
  ShareWorldOptions options_;
  std::vector<Holder> holders_;
  std::vector<Replica> replicas_;
  std::optional<std::size_t> leader_;
  std::vector<Cap> caps_;
  std::deque<base::Duration> admitted_;
  ShareWorldTally tally_;
};

}  // namespace wagtailpick::control
