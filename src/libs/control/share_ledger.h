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

/// Shares of shift caps and links, in the leader's memory. A holder uses the newest share that it
/// got, until `LeaseTimes::HolderLease` after it sent the renewal, and counts what it admitted over
/// `LeaseTimes::HolderWindow`.
class ShareLedger {
 public:
  /// A new ledger grants nothing until `Reset`.
  explicit ShareLedger(LeaseTimes times = {});

  /// Starts a term as leader at `now`, which mustn't be before the election. Shares of earlier
  /// leaders are unknown, so nothing is granted until they have run out.
  void Reset(base::MonotonicTime now);

  /// Applies the limits of a bundle. Lowered ones hold once the shares granted before have run out.
  void SetLimits(const ShareLimits& limits, base::MonotonicTime now);

  /// Answers the demands of a renewal handled at `now` with shares in the same order. A demand
  /// counts until the session's lease ends; one without limit in the bundle gets 0 units.
  std::vector<ServiceShare> Renew(SessionId session, std::span<const ServiceShare> demands,
                                  base::MonotonicTime now);

  /// Units of a pool that are bound at `now`.
  std::uint64_t ReservedUnits(const PoolKey& pool, base::MonotonicTime now);

 private:
  int PriorityOf(const std::string& service) const;

  LeaseTimes times_;
  std::optional<base::MonotonicTime> grants_start_at_;
  std::map<PoolKey, SharePool> pools_;
  std::map<std::string, int> priorities_;
};

}  // namespace wagtailpick::control
