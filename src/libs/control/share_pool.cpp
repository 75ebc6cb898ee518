#include "control/share_pool.h"

#include <algorithm>
#include <vector>

#include "control/share_division.h"

namespace wagtailpick::control {
namespace {

using base::MonotonicTime;

// A division takes a fraction of a microsecond per holder; at this interval all pools together use
// a few percent of a core. Between divisions the last targets apply; the limit on the sum of
// reserved units holds at all times.
constexpr base::Duration kDivisionIntervalPerHolder = std::chrono::microseconds(100);

}  // namespace

void SharePool::SetDemand(const ShareHolder& holder, int priority, std::uint64_t demand,
                          MonotonicTime now) {
  Allocation& allocation = allocations_[holder];
  allocation.priority = priority;
  allocation.demand = demand;
  allocation.demand_expires_at = now + times_.LeaderLease();
}

std::uint64_t SharePool::Grant(const ShareHolder& holder, MonotonicTime now) {
  Expire(now);
  const auto holders = static_cast<std::int64_t>(allocations_.size());
  if (now >= divided_at_ + kDivisionIntervalPerHolder * holders) Divide(now);
  Allocation& allocation = allocations_[holder];
  const std::uint64_t others = reserved_ - allocation.reserved();
  const std::uint64_t available = capacity_ > others ? capacity_ - others : 0;
  const std::uint64_t units = std::min({allocation.target, allocation.demand, available});
  Reserve(holder, allocation, units, now);
  return units;
}

void SharePool::Clear() {
  reserved_ = 0;
  allocations_.clear();
  expiries_.clear();
}

void SharePool::Reserve(const ShareHolder& holder, Allocation& allocation, std::uint64_t units,
                        MonotonicTime now) {
  if (units == 0) return;
  const std::uint64_t before = allocation.reserved();
  while (!allocation.shares.empty() && allocation.shares.back().units <= units) {
    allocation.shares.pop_back();
  }
  const MonotonicTime until = now + times_.LeaderLease() + times_.LeaderWindow();
  allocation.shares.push_back({units, until});
  expiries_.push_back({until, holder});
  reserved_ += allocation.reserved() - before;
}

void SharePool::Expire(MonotonicTime now) {
  for (; !expiries_.empty() && expiries_.front().at <= now; expiries_.pop_front()) {
    const auto found = allocations_.find(expiries_.front().holder);
    if (found == allocations_.end()) continue;
    Allocation& allocation = found->second;
    reserved_ -= allocation.reserved();
    while (!allocation.shares.empty() && allocation.shares.front().reserved_until <= now) {
      allocation.shares.pop_front();
    }
    reserved_ += allocation.reserved();
  }
}

void SharePool::Divide(MonotonicTime now) {
  divided_at_ = now;
  std::erase_if(allocations_, [now](const auto& item) {
    return item.second.shares.empty() && item.second.demand_expires_at <= now;
  });
  std::vector<ShareDemand> demands;
  demands.reserve(allocations_.size());
  for (const auto& [holder, allocation] : allocations_) {
    demands.push_back(
        {allocation.priority, allocation.demand_expires_at > now ? allocation.demand : 0});
  }
  const auto targets = DivideShares(capacity_, demands);
  auto target = targets.begin();
  for (auto& [holder, allocation] : allocations_) allocation.target = *target++;
}

std::uint64_t SharePool::ReservedUnits(MonotonicTime now) {
  Expire(now);
  return reserved_;
}

bool SharePool::IsIdle(MonotonicTime now) {
  Expire(now);
  return reserved_ == 0 &&
         std::all_of(allocations_.begin(), allocations_.end(),
                     [now](const auto& item) { return item.second.demand_expires_at <= now; });
}

}  // namespace wagtailpick::control
