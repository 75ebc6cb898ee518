#include "placement/region_weights.h"

#include <algorithm>

namespace wagtailpick::placement {
namespace {

/// Part of a region's requests that stays there if it has the slots; the rest keeps the other
/// regions in use, so that a change of the slots moves few objects at once.
constexpr double kOwnPart = 0.9;
/// Weight of a slot in a region that has none left over, against one that is left over. The smaller
/// it is, the more objects change their region when upstreams come or go.
constexpr double kFullWeight = 0.5;

}  // namespace

std::map<std::string, double> RegionWeights(const std::string& own,
                                            const std::map<std::string, double>& slots,
                                            std::size_t regions) {
  double total = 0;
  for (const auto& [region, count] : slots) total += count;
  // Slots that the requests of one region need if all are equally busy.
  const double needed = total / static_cast<double>(std::max<std::size_t>(regions, 1));
  double others = 0;
  std::map<std::string, double> weights;
  for (const auto& [region, count] : slots) {
    if (region == own || count <= 0) continue;
    const double room = std::max(0.0, count - needed) + kFullWeight * count;
    weights[region] = room / count;
    others += room;
  }
  const auto found = slots.find(own);
  if (found == slots.end() || found->second <= 0) return weights;
  const double kept = kOwnPart * std::min(found->second, needed);
  // The others' weights add up to what leaves the region.
  for (auto& [region, weight] : weights) weight *= (needed - kept) / others;
  weights[own] = kept / found->second;
  return weights;
}

}  // namespace wagtailpick::placement
