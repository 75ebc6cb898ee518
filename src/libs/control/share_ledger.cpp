#include "control/share_ledger.h"

#include <iterator>
#include <utility>

namespace wagtailpick::control {
namespace {

using base::MonotonicTime;

PoolKey PoolOf(const ServiceShare& share) {
  const bool is_cap = share.kind == ShareKind::kShiftCap;
  return {share.kind, is_cap ? share.service : std::string(), share.from, share.to};
}

}  // namespace

ShareLedger::ShareLedger(LeaseTimes times) : times_(times) {}

void ShareLedger::Reset(MonotonicTime now) {
  grants_start_at_ = now + times_.LeaderLease() + times_.LeaderWindow();
  // All earlier shares, including those of this replica's earlier terms, expire before the first
  // new one is granted.
  for (auto& [key, pool] : pools_) pool.Clear();
}

void ShareLedger::SetLimits(const ShareLimits& limits, MonotonicTime now) {
  for (auto pool = pools_.begin(); pool != pools_.end();) {
    pool->second.set_capacity(0);
    pool = pool->second.IsIdle(now) ? pools_.erase(pool) : std::next(pool);
  }
  for (const auto& limit : limits.pools) {
    pools_.try_emplace(limit.pool, times_).first->second.set_capacity(limit.units);
  }
  priorities_.clear();
  for (const auto& entry : limits.priorities) priorities_[entry.service] = entry.priority;
}

int ShareLedger::PriorityOf(const std::string& service) const {
  const auto found = priorities_.find(service);
  return found == priorities_.end() ? 1 : found->second;
}

std::vector<ServiceShare> ShareLedger::Renew(SessionId session,
                                             std::span<const ServiceShare> demands,
                                             MonotonicTime now) {
  std::vector<ServiceShare> shares(demands.begin(), demands.end());
  const bool may_grant = grants_start_at_ && now >= *grants_start_at_;
  for (auto& share : shares) {
    const std::uint64_t demand = std::exchange(share.units, 0);
    const auto pool = pools_.find(PoolOf(share));
    if (pool == pools_.end()) continue;
    const ShareHolder holder{session, share.service};
    pool->second.SetDemand(holder, PriorityOf(share.service), demand, now);
    if (may_grant) share.units = pool->second.Grant(holder, now);
  }
  return shares;
}

std::uint64_t ShareLedger::ReservedUnits(const PoolKey& pool, MonotonicTime now) {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.ReservedUnits(now);
}

}  // namespace wagtailpick::control
