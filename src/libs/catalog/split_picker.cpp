#include "catalog/split_picker.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace wagtailpick::catalog {
namespace {

/// Bound of the position in its cycle at which a sequence starts. Its product with a weight fits 64
/// bits, and a target with a larger share than its inverse is found at all distances from its turn.
constexpr std::uint64_t kMaxStartPosition = std::uint64_t{1} << 20U;

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

/// Returns credits as they are after about `position` picks from equal ones, without making the
/// picks: what each target is owed, as if those that are owed most had just been picked.
std::vector<std::int64_t> CreditsAt(std::uint64_t position, const std::vector<RouteTarget>& targets,
                                    std::uint64_t total) {
  std::vector<std::int64_t> credits;
  credits.reserve(targets.size());
  for (const auto& target : targets) {
    credits.push_back(static_cast<std::int64_t>(position * target.weight % total));
  }
  // The remainders add up to a multiple of the total, and the credits have to add up to zero.
  const auto sum = std::accumulate(credits.begin(), credits.end(), std::int64_t{0});
  const auto picked = sum / static_cast<std::int64_t>(total);
  std::vector<std::size_t> order(targets.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::partial_sort(order.begin(), order.begin() + picked, order.end(),
                    [&](auto left, auto right) { return credits[left] > credits[right]; });
  for (auto index = order.begin(); index != order.begin() + picked; ++index) {
    credits[*index] -= static_cast<std::int64_t>(total);
  }
  return credits;
}

}  // namespace

const std::string& SplitPicker::Pick(const Route& route) {
  if (route.targets.size() == 1) return route.targets.front().service;
  auto& state = states_[route.name];
  if (state.targets != route.targets) Start(route, state);
  ++state.picks;
  return route.targets[PickNext(state.targets, state.credits)].service;
}

void SplitPicker::Start(const Route& route, State& state) const {
  const auto weights =
      std::accumulate(route.targets.begin(), route.targets.end(), std::uint64_t{0},
                      [](std::uint64_t sum, const auto& target) { return sum + target.weight; });
  const auto total = std::max<std::uint64_t>(weights, 1);
  const auto cycle = std::min(total, kMaxStartPosition);
  const auto first = (seed_ ^ std::hash<std::string>()(route.name)) % cycle;
  state.targets = route.targets;
  state.credits = CreditsAt((first + state.picks) % cycle, route.targets, total);
}

}  // namespace wagtailpick::catalog
