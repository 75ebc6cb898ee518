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

ShareLedger::ShareLedger(LeaseTerms terms) : terms_(terms) {}

void ShareLedger::Reset(MonotonicTime now) {
  grants_from_ = now + terms_.LeaderLease() + terms_.LeaderWindow();
  // All earlier shares, this replica's own too, run out before the first new one.
  for (auto& [key, pool] : pools_) pool.Clear();
}

void ShareLedger::SetLimits(const ShareLimits& limits, MonotonicTime now) {
  for (auto pool = pools_.begin(); pool != pools_.end();) {
    pool->second.set_capacity(0);
    pool = pool->second.IsIdle(now) ? pools_.erase(pool) : std::next(pool);
  }
  for (const auto& limit : limits.pools) {
    pools_.try_emplace(limit.pool, terms_).first->second.set_capacity(limit.units);
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
  const bool may_grant = grants_from_ && now >= *grants_from_;
  for (auto& share : shares) {
    const std::uint64_t demand = std::exchange(share.units, 0);
    const auto pool = pools_.find(PoolOf(share));
    if (pool == pools_.end()) continue;
    const Claimant claimant{session, share.service};
    pool->second.Ask(claimant, PriorityOf(share.service), demand, now);
    if (may_grant) share.units = pool->second.Grant(claimant, now);
  }
  return shares;
}

std::uint64_t ShareLedger::Bound(const PoolKey& pool, MonotonicTime now) {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.Bound(now);
}

}  // namespace wagtailpick::control
