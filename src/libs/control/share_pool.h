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

/// Holder of shares of a pool: one session for one service.
struct ShareHolder {
  SessionId session = 0;
  std::string service;

  friend auto operator<=>(const ShareHolder&, const ShareHolder&) = default;
};

/// Shares of one pool. A share reserves its units until its lease and one window have passed. A
/// grant never brings the reserved units of all holders together above the capacity at that time.
class SharePool {
 public:
  explicit SharePool(LeaseTimes times) : times_(times) {}

  void set_capacity(std::uint64_t capacity) { capacity_ = capacity; }

  /// Sets a holder's demand in units. It is considered until the holder's lease ends.
  void SetDemand(const ShareHolder& holder, int priority, std::uint64_t demand,
                 base::MonotonicTime now);

  /// Grants units to a holder whose demand is set, and returns their number.
  std::uint64_t Grant(const ShareHolder& holder, base::MonotonicTime now);

  /// Removes all demands and shares.
  void Clear();

  /// Returns the units that are reserved at `now`.
  std::uint64_t ReservedUnits(base::MonotonicTime now);

  /// Returns whether no units are reserved and there is no demand at `now`.
  bool IsIdle(base::MonotonicTime now);

 private:
  struct Share {
    std::uint64_t units = 0;
    base::MonotonicTime reserved_until;
  };

  // Shares are ordered by descending units and ascending expiry: a share that is followed by one of
  // at least its size no longer affects the reserved units and is removed.
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
