#include "shift/forced_shift.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>

namespace wagtailpick::shift {
namespace {

std::uint32_t Granted(const ForcedPlan& plan, std::uint16_t service, std::uint16_t region) {
  std::uint32_t sum = 0;
  for (const auto& grant : plan.grants) {
    if (grant.service == service && grant.region == region) sum += grant.requests_per_s;
  }
  return sum;
}

std::uint32_t Refused(const ForcedPlan& plan, std::uint16_t service) {
  std::uint32_t sum = 0;
  for (const auto& refusal : plan.refusals) {
    if (refusal.service == service) sum += refusal.requests_per_s;
  }
  return sum;
}

}  // namespace

// Guards against a plan that overloads a region, and against one that refuses more than necessary.
Test(forced_shift, grants_what_the_other_regions_sustain_and_refuses_the_rest) {
  const std::vector<ForcedDemand> demands = {{0, 5, 100, 10}};
  const std::vector<ForcedTarget> targets = {{1, 0, 1'000, 30}, {2, 0, 40, 90}};
  const std::vector<ForcedLink> links = {{1, 10'000}, {2, 10'000}};
  const ForcedPlan plan = PlanForcedShift(demands, targets, links);
  cr_expect(Granted(plan, 0, 1) == 30);
  cr_expect(Granted(plan, 0, 2) == 40);
  cr_expect(Refused(plan, 0) == 30);
}

// Guards against a service of low priority that uses up the link before one of high priority.
Test(forced_shift, lowest_priority_is_refused_first) {
  const std::vector<ForcedDemand> demands = {{0, 1, 100, 10}, {1, 9, 60, 10}};
  const std::vector<ForcedTarget> targets = {{1, 0, 100, 100}, {1, 1, 100, 100}};
  const ForcedPlan plan = PlanForcedShift(demands, targets, std::vector<ForcedLink>{{1, 1'000}});
  cr_expect(Granted(plan, 1, 1) == 60 && Refused(plan, 1) == 0);
  cr_expect(Granted(plan, 0, 1) == 40 && Refused(plan, 0) == 60);
}

// Guards against plans that exceed a link or cap, and against demand that is neither granted nor
// refused.
Test(forced_shift, random_plans_keep_all_limits) {
  for (std::uint64_t seed = 0; seed < 500; ++seed) {
    std::mt19937_64 random(seed);
    const auto draw = [&](std::uint32_t bound) {
      return static_cast<std::uint32_t>(random() % bound);
    };
    std::vector<ForcedDemand> demands;
    std::vector<ForcedTarget> targets;
    std::vector<ForcedLink> links;
    for (std::uint16_t region = 1; region <= 3; ++region) links.push_back({region, draw(5'000)});
    for (std::uint16_t service = 0; service < 4; ++service) {
      demands.push_back({service, 1 + draw(9), draw(300), draw(50)});
      for (std::uint16_t region = 1; region <= 3; ++region) {
        if (draw(4) != 0) targets.push_back({region, service, draw(200), draw(200)});
      }
    }
    const ForcedPlan plan = PlanForcedShift(demands, targets, links);
    for (const auto& link : links) {
      std::uint64_t bytes = 0;
      for (const auto& demand : demands) {
        bytes +=
            std::uint64_t{Granted(plan, demand.service, link.region)} * demand.bytes_per_request;
      }
      cr_assert(bytes <= link.bytes_per_s);
    }
    for (const auto& target : targets) {
      const auto granted = Granted(plan, target.service, target.region);
      cr_assert(granted <= std::min(target.cap_per_s, target.sustainable_per_s));
    }
    for (const auto& demand : demands) {
      std::uint32_t sum = Refused(plan, demand.service);
      for (const auto& link : links) sum += Granted(plan, demand.service, link.region);
      cr_assert(sum == demand.requests_per_s);
    }
  }
}

// Guards against a rate that uses the reserved slots, and against a division by an unknown slot
// time.
Test(forced_shift, sustainable_rate_leaves_the_headroom_free) {
  constexpr base::Duration kSlotTime{100'000};
  cr_expect(SustainableRate(10, 10, 20, kSlotTime) == 80);
  cr_expect(SustainableRate(2, 10, 20, kSlotTime) == 0);
  cr_expect(SustainableRate(1, 10, 20, kSlotTime) == 0);
  cr_expect(SustainableRate(3, 11, 20, kSlotTime) == 0);
  cr_expect(SustainableRate(10, 10, 20, base::Duration::zero()) == 0);
}

}  // namespace wagtailpick::shift
