#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "control/lease_times.h"
#include "control/session.h"
#include "control/share_pool.h"
#include "control/shares.h"

namespace wagtailpick::control {

/// Shares of shift caps and links, kept in memory by the leader. A holder uses the newest share
/// that it received, until `LeaseTimes::HolderLease` after it sent the renewal, and limits what it
/// admits within `LeaseTimes::HolderWindow` to that share.
class ShareLedger {
 public:
  /// A new ledger grants nothing until `Reset`.
  explicit ShareLedger(LeaseTimes times = {});

  /// Starts a term as leader at `now`, which must not be before the election. The shares that
  /// earlier leaders granted are unknown, so nothing is granted until they have expired.
  void Reset(base::MonotonicTime now);

  /// Applies the limits of a bundle. A lowered limit is kept once the shares granted before have
  /// expired.
  void SetLimits(const ShareLimits& limits, base::MonotonicTime now);

  /// Answers the demands of a renewal handled at `now` with shares in the same order. A demand
  /// is considered until the session's lease ends; one without a limit in the bundle gets 0 units.
  std::vector<ServiceShare> Renew(SessionId session, std::span<const ServiceShare> demands,
                                  base::MonotonicTime now);

  /// Returns the units of a pool that are reserved at `now`; 0 for an unknown pool.
  std::uint64_t ReservedUnits(const PoolKey& pool, base::MonotonicTime now);

 private:
  int PriorityOf(const std::string& service) const;

  LeaseTimes times_;
  /// Nothing is granted before this time, nor without it.
  std::optional<base::MonotonicTime> grants_start_at_;
  std::map<PoolKey, SharePool> pools_;
  std::map<std::string, int> priorities_;
};

}  // namespace wagtailpick::control
