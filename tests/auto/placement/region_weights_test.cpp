#include "placement/region_weights.h"

#include <criterion/criterion.h>

#include <cmath>

namespace {

using wagtailpick::placement::RegionWeights;

constexpr std::size_t kRegions = 3;
std::map<std::string, double> UnevenSlots() {
  return {{"small", 12}, {"middle", 52}, {"large", 62}};
}

/// Returns the share of the objects of region `own` that go to `region`.
double Share(const std::map<std::string, double>& slots, const std::string& own,
             const std::string& region) {
  const auto weights = RegionWeights(own, slots, kRegions);
  double total = 0;
  for (const auto& [name, weight] : weights) total += weight * slots.at(name);
  return weights.at(region) * slots.at(region) / total;
}

}  // namespace

// Guards against objects that leave a region with enough slots: each of their requests then crosses
// regions, and the traffic is paid for.
Test(region_weights, keeps_objects_in_a_region_with_enough_slots) {
  const auto uneven = UnevenSlots();
  cr_expect(Share(uneven, "large", "large") > 0.85);
  cr_expect(Share(uneven, "middle", "middle") > 0.85);
}

// Guards against a region with few slots that gets as many objects as the others.
Test(region_weights, loads_all_slots_about_equally) {
  const auto uneven = UnevenSlots();
  std::map<std::string, double> load;
  for (const auto& [own, own_slots] : uneven) {
    for (const auto& [region, slots] : uneven) load[region] += Share(uneven, own, region) / slots;
  }
  cr_expect(load.at("small") < 1.3 * load.at("large"));
  cr_expect(load.at("large") < 1.3 * load.at("small"));
  cr_expect(load.at("middle") < 1.3 * load.at("large"));
}

// Guards against a division by zero for regions without slots and for a single region.
Test(region_weights, handles_regions_without_slots_and_a_single_region) {
  const std::map<std::string, double> others{{"middle", 10}, {"large", 10}};
  const auto weights = RegionWeights("small", others, kRegions);
  cr_expect(weights.size() == 2);
  cr_expect(weights.at("middle") > 0 && std::isfinite(weights.at("middle")));
  const auto alone = RegionWeights("small", {{"small", 4}}, 1);
  cr_expect(alone.size() == 1 && alone.at("small") > 0);
  cr_expect(RegionWeights("small", {}, kRegions).empty());
}

// Guards against too many objects that change region at once when upstreams join: the shares of a
// region may shift by 0.15 within two seconds, in which a quarter more upstreams may join.
Test(region_weights, moves_few_objects_when_upstreams_join) {
  const auto uneven = UnevenSlots();
  auto more = uneven;
  more["middle"] *= 1.25;
  for (const auto& [own, own_slots] : uneven) {
    double moved = 0;
    for (const auto& [region, slots] : uneven) {
      moved += std::abs(Share(more, own, region) - Share(uneven, own, region)) / 2;
    }
    cr_expect(moved < 0.1, "%s: %f", own.c_str(), moved);
  }
}
