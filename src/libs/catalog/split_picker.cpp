#include "catalog/split_picker.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace wagtailpick::catalog {
namespace {

/// Picks the next target by smooth weighted round robin and returns its index.
std::size_t PickNext(const std::vector<RouteTarget>& targets, std::vector<std::int64_t>& credits) {
  std::int64_t total = 0;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    credits[i] += targets[i].weight;
    total += targets[i].weight;
  }
  const auto best = std::max_element(credits.begin(), credits.end());
  *best -= total;
  return static_cast<std::size_t>(best - credits.begin());
}

}  // namespace

const std::string& SplitPicker::Pick(const Route& route) {
  if (route.targets.size() == 1) return route.targets.front().service;
  auto& state = states_[route.name];
  if (state.targets != route.targets) {
    state.targets = route.targets;
    state.credits.assign(route.targets.size(), 0);
    const std::uint64_t total =
        std::accumulate(route.targets.begin(), route.targets.end(), std::uint64_t{0},
                        [](std::uint64_t sum, const auto& target) { return sum + target.weight; });
    std::uint64_t skip =
        (seed_ ^ std::hash<std::string>()(route.name)) % std::max<std::uint64_t>(total, 1);
    for (; skip > 0; --skip) PickNext(state.targets, state.credits);
  }
  return route.targets[PickNext(state.targets, state.credits)].service;
}

}  // namespace wagtailpick::catalog
