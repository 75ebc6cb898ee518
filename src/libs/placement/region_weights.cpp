#include "placement/region_weights.h"

#include <algorithm>

namespace wagtailpick::placement {
namespace {

/// Share of a region's requests that stays in the region if it has enough slots. The rest keeps
/// the other regions in use, so that a change of the slots moves few objects at once.
constexpr double kMaxLocalShare = 0.9;
/// Weight of a slot that its own region needs, where a spare slot weighs 1 more. The smaller it is,
/// the more objects change their region when upstreams come or go.
constexpr double kBusySlotWeight = 0.5;

}  // namespace

std::map<std::string, double> RegionWeights(const std::string& own,
                                            const std::map<std::string, double>& slots,
                                            std::size_t regions) {
  double total = 0;
  for (const auto& [region, count] : slots) total += count;
  // Slots that the requests of one region need if all slots are equally busy.
  const double needed = total / static_cast<double>(std::max<std::size_t>(regions, 1));
  double other_capacity = 0;
  std::map<std::string, double> weights;
  for (const auto& [region, count] : slots) {
    if (region == own || count <= 0) continue;
    const double capacity = std::max(0.0, count - needed) + kBusySlotWeight * count;
    weights[region] = capacity / count;
    other_capacity += capacity;
  }
  const auto found = slots.find(own);
  if (found == slots.end() || found->second <= 0) return weights;
  const double local_slots = kMaxLocalShare * std::min(found->second, needed);
  // Scales the weights of the other regions to the requests that leave this one.
  for (auto& [region, weight] : weights) weight *= (needed - local_slots) / other_capacity;
  weights[own] = local_slots / found->second;
  return weights;
}

}  // namespace wagtailpick::placement
