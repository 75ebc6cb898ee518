#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/monotonic_time.h"
#include "control/lease_times.h"
#include "control/session.h"

namespace wagtailpick::control {

/// One holder's allocation on a pool for one service.
struct ShareHolder {
  SessionId session = 0;
  std::string service;

  friend auto operator<=>(const ShareHolder&, const ShareHolder&) = default;
};

/// Shares of one pool. A share binds its units until its lease and one window have passed; the
/// bound units of all holders together never exceed the capacity under which they were granted.
class SharePool {
 public:
  explicit SharePool(LeaseTimes times) : times_(times) {}

  void set_capacity(std::uint64_t capacity) { capacity_ = capacity; }

  /// Notes that a holder wants `demand` units; counts until its lease ends.
  void SetDemand(const ShareHolder& holder, int priority, std::uint64_t demand,
                 base::MonotonicTime now);

  /// Returns the units granted at `now` to a holder that has asked.
  std::uint64_t Grant(const ShareHolder& holder, base::MonotonicTime now);

  /// Forgets all demands and shares.
  void Clear();

  /// Units that are bound at `now`.
  std::uint64_t ReservedUnits(base::MonotonicTime now);

  /// Whether nothing is bound or asked for at `now`.
  bool IsIdle(base::MonotonicTime now);

 private:
  struct Share {
    std::uint64_t units = 0;
    base::MonotonicTime reserved_until;
  };

  // Shares fall from front to back in units and rise in time: one that is followed by a share of at
  // least its size can't matter any more.
  struct Allocation {
    int priority = 1;
    std::uint64_t demand = 0;
    std::uint64_t target = 0;
    base::MonotonicTime demand_expires_at;
    std::deque<Share> shares;

    std::uint64_t reserved() const { return shares.empty() ? 0 : shares.front().units; }
  };

  struct Expiry {
    base::MonotonicTime at;
    ShareHolder holder;
  };

  void Expire(base::MonotonicTime now);
  void Divide(base::MonotonicTime now);
  void Reserve(const ShareHolder& holder, Allocation& allocation, std::uint64_t units,
               base::MonotonicTime now);

  LeaseTimes times_;
  std::uint64_t capacity_ = 0;
  std::uint64_t reserved_ = 0;
  base::MonotonicTime divided_at_;
  std::map<ShareHolder, Allocation> allocations_;
  std::deque<Expiry> expiries_;
};

}  // namespace wagtailpick::control
