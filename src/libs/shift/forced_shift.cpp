#include "shift/forced_shift.h"

#include <algorithm>
#include <limits>

namespace wagtailpick::shift {
namespace {

// Capacity of one region for one service, in requests per second.
struct Capacity {
  std::uint16_t region = 0;
  std::uint32_t requests = 0;
};

class Planner {
 public:
  explicit Planner(std::span<const ForcedLink> links) : links_(links.begin(), links.end()) {}

  // Adds the grants and the refusal for one demand to `plan`.
  void Distribute(const ForcedDemand& demand, std::span<const ForcedTarget> targets,
                  ForcedPlan& plan) {
    std::vector<Capacity> capacities;
    std::uint64_t sum = 0;
    for (const auto& target : targets) {
      if (target.service != demand.service) continue;
      const std::uint32_t requests = std::min(target.cap_per_s, target.sustainable_per_s);
      capacities.push_back({target.region, requests});
      sum += requests;
    }
    std::vector<std::uint32_t> granted(capacities.size(), 0);
    std::uint32_t remaining = demand.requests_per_s;
    const auto grant = [&](std::size_t i, std::uint32_t requested) {
      const std::uint32_t available = capacities[i].requests - granted[i];
      const std::uint32_t reserved =
          ReserveLink(capacities[i].region, std::min({requested, available, remaining}),
                      demand.bytes_per_request);
      granted[i] += reserved;
      remaining -= reserved;
    };
    // First in proportion to the capacities, then the remainder due to rounding and full links.
    for (std::size_t i = 0; i < capacities.size() && sum > 0; ++i) {
      const std::uint64_t part =
          std::uint64_t{demand.requests_per_s} * capacities[i].requests / sum;
      grant(i, static_cast<std::uint32_t>(part));
    }
    for (std::size_t i = 0; i < capacities.size(); ++i) grant(i, remaining);
    for (std::size_t i = 0; i < capacities.size(); ++i) {
      if (granted[i] > 0) plan.grants.push_back({demand.service, capacities[i].region, granted[i]});
    }
    if (remaining > 0) plan.refusals.push_back({demand.service, remaining});
  }

 private:
  // Reserves link capacity for up to `requests` requests of `bytes` each; returns how many fit.
  std::uint32_t ReserveLink(std::uint16_t region, std::uint32_t requests, std::uint32_t bytes) {
    const auto link = std::find_if(links_.begin(), links_.end(), [&](const ForcedLink& candidate) {
      return candidate.region == region;
    });
    if (link == links_.end()) return 0;
    if (bytes == 0) return requests;
    const auto fitting = std::min<std::uint64_t>(requests, link->bytes_per_s / bytes);
    link->bytes_per_s -= fitting * bytes;
    return static_cast<std::uint32_t>(fitting);
  }

  // Remaining capacity of each link.
  std::vector<ForcedLink> links_;
};

}  // namespace

std::uint32_t SustainableRate(std::uint32_t free_slots, std::uint32_t total_slots,
                              std::uint32_t headroom_percent, base::Duration slot_time) {
  constexpr std::uint64_t kMicrosPerSecond = 1'000'000;
  constexpr std::uint64_t kPercent = 100;
  if (slot_time <= base::Duration::zero()) return 0;
  const std::uint64_t reserve =
      (std::uint64_t{total_slots} * headroom_percent + kPercent - 1) / kPercent;
  if (free_slots <= reserve) return 0;
  const std::uint64_t rate =
      (free_slots - reserve) * kMicrosPerSecond / static_cast<std::uint64_t>(slot_time.count());
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(rate, std::numeric_limits<std::uint32_t>::max()));
}

ForcedPlan PlanForcedShift(std::span<const ForcedDemand> demands,
                           std::span<const ForcedTarget> targets,
                           std::span<const ForcedLink> links) {
  std::vector<ForcedDemand> ordered(demands.begin(), demands.end());
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const ForcedDemand& left, const ForcedDemand& right) {
                     return left.priority > right.priority;
                   });
  ForcedPlan plan;
  Planner planner(links);
  for (const auto& demand : ordered) planner.Distribute(demand, targets, plan);
  return plan;
}

}  // namespace wagtailpick::shift
