#include "control/share_pool.h"

#include <algorithm>
#include <vector>

#include "control/share_division.h"

namespace wagtailpick::control {
namespace {

using base::MonotonicTime;

// A division takes a fraction of a microsecond for each claimant; at this interval all pools
// together stay within a few percent of a core. Between divisions the last targets apply; the bound
// on the sum holds at any time.
constexpr base::Duration kDivisionIntervalPerClaimant = std::chrono::microseconds(100);

}  // namespace

void SharePool::Ask(const Claimant& claimant, int priority, std::uint64_t demand,
                    MonotonicTime now) {
  Claim& claim = claims_[claimant];
  claim.priority = priority;
  claim.demand = demand;
  claim.asked_until = now + terms_.LeaderLease();
}

std::uint64_t SharePool::Grant(const Claimant& claimant, MonotonicTime now) {
  Expire(now);
  const auto claimants = static_cast<std::int64_t>(claims_.size());
  if (now >= divided_at_ + kDivisionIntervalPerClaimant * claimants) Divide(now);
  Claim& claim = claims_[claimant];
  const std::uint64_t others = bound_ - claim.bound();
  const std::uint64_t room = capacity_ > others ? capacity_ - others : 0;
  const std::uint64_t units = std::min({claim.target, claim.demand, room});
  Bind(claimant, claim, units, now);
  return units;
}

void SharePool::Clear() {
  bound_ = 0;
  claims_.clear();
  expiries_.clear();
}

void SharePool::Bind(const Claimant& claimant, Claim& claim, std::uint64_t units,
                     MonotonicTime now) {
  if (units == 0) return;
  const std::uint64_t before = claim.bound();
  while (!claim.shares.empty() && claim.shares.back().units <= units) claim.shares.pop_back();
  const MonotonicTime until = now + terms_.LeaderLease() + terms_.LeaderWindow();
  claim.shares.push_back({units, until});
  expiries_.push_back({until, claimant});
  bound_ += claim.bound() - before;
}

void SharePool::Expire(MonotonicTime now) {
  for (; !expiries_.empty() && expiries_.front().at <= now; expiries_.pop_front()) {
    const auto found = claims_.find(expiries_.front().claimant);
    if (found == claims_.end()) continue;
    Claim& claim = found->second;
    bound_ -= claim.bound();
    while (!claim.shares.empty() && claim.shares.front().bound_until <= now) {
      claim.shares.pop_front();
    }
    bound_ += claim.bound();
  }
}

void SharePool::Divide(MonotonicTime now) {
  divided_at_ = now;
  std::erase_if(claims_, [now](const auto& item) {
    return item.second.shares.empty() && item.second.asked_until <= now;
  });
  std::vector<ShareDemand> demands;
  demands.reserve(claims_.size());
  for (const auto& [claimant, claim] : claims_) {
    demands.push_back({claim.priority, claim.asked_until > now ? claim.demand : 0});
  }
  const auto targets = DivideShares(capacity_, demands);
  auto target = targets.begin();
  for (auto& [claimant, claim] : claims_) claim.target = *target++;
}

std::uint64_t SharePool::Bound(MonotonicTime now) {
  Expire(now);
  return bound_;
}

bool SharePool::IsIdle(MonotonicTime now) {
  Expire(now);
  return bound_ == 0 && std::all_of(claims_.begin(), claims_.end(), [now](const auto& item) {
           return item.second.asked_until <= now;
         });
}

}  // namespace wagtailpick::control
