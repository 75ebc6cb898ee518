#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/monotonic_time.h"
#include "control/lease_terms.h"
#include "control/session.h"

namespace wagtailpick::control {

/// One holder's claim on a pool for one service.
struct Claimant {
  SessionId session = 0;
  std::string service;

  friend auto operator<=>(const Claimant&, const Claimant&) = default;
};

/// Shares of one pool. A share binds its units until its lease and one window have passed; the
/// bound units of all claimants together never exceed the capacity under which they were granted.
class SharePool {
 public:
  explicit SharePool(LeaseTerms terms) : terms_(terms) {}

  void set_capacity(std::uint64_t capacity) { capacity_ = capacity; }

  /// Notes that a claimant wants `demand` units; counts until its lease ends.
  void Ask(const Claimant& claimant, int priority, std::uint64_t demand, base::MonotonicTime now);

  /// Returns the units granted at `now` to a claimant that has asked.
  std::uint64_t Grant(const Claimant& claimant, base::MonotonicTime now);

  /// Forgets all demands and shares.
  void Clear();

  /// Units that are bound at `now`.
  std::uint64_t Bound(base::MonotonicTime now);

  /// Whether nothing is bound or asked for at `now`.
  bool IsIdle(base::MonotonicTime now);

 private:
  struct Share {
    std::uint64_t units = 0;
    base::MonotonicTime bound_until;
  };

  // Shares fall from front to back in units and rise in time: one that is followed by a share of at
  // least its size can't matter any more.
  struct Claim {
    int priority = 1;
    std::uint64_t demand = 0;
    std::uint64_t target = 0;
    base::MonotonicTime asked_until;
    std::deque<Share> shares;

    std::uint64_t bound() const { return shares.empty() ? 0 : shares.front().units; }
  };

  struct Expiry {
    base::MonotonicTime at;
    Claimant claimant;
  };

  void Expire(base::MonotonicTime now);
  void Divide(base::MonotonicTime now);
  void Bind(const Claimant& claimant, Claim& claim, std::uint64_t units, base::MonotonicTime now);

  LeaseTerms terms_;
  std::uint64_t capacity_ = 0;
  std::uint64_t bound_ = 0;
  base::MonotonicTime divided_at_;
  std::map<Claimant, Claim> claims_;
  std::deque<Expiry> expiries_;
};

}  // namespace wagtailpick::control
