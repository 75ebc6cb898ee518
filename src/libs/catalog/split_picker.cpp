#include "catalog/split_picker.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace wagtailpick::catalog {
namespace {

std::size_t Advance(const std::vector<RouteTarget>& targets, std::vector<std::int64_t>& credit) {
  std::int64_t total = 0;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    credit[i] += targets[i].weight;
    total += targets[i].weight;
  }
  const auto best = std::max_element(credit.begin(), credit.end());
  *best -= total;
  return static_cast<std::size_t>(best - credit.begin());
}

}  // namespace

const std::string& SplitPicker::Pick(const Route& route) {
  if (route.targets.size() == 1) return route.targets.front().service;
  auto& state = states_[route.name];
  if (state.targets != route.targets) {
    state.targets = route.targets;
    state.credit.assign(route.targets.size(), 0);
    const std::uint64_t total =
        std::accumulate(route.targets.begin(), route.targets.end(), std::uint64_t{0},
                        [](std::uint64_t sum, const auto& target) { return sum + target.weight; });
    std::uint64_t skip =
        (seed_ ^ std::hash<std::string>()(route.name)) % std::max<std::uint64_t>(total, 1);
    for (; skip > 0; --skip) Advance(state.targets, state.credit);
  }
  return route.targets[Advance(state.targets, state.credit)].service;
}

}  // namespace wagtailpick::catalog
