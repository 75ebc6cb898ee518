#include "control/share_division.h"

#include <algorithm>
#include <numeric>

namespace wagtailpick::control {

std::vector<std::uint64_t> DivideShares(std::uint64_t capacity,
                                        std::span<const ShareDemand> demands) {
  std::vector<std::size_t> order(demands.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](std::size_t first, std::size_t second) {
    if (demands[first].priority != demands[second].priority) {
      return demands[first].priority > demands[second].priority;
    }
    return demands[first].units < demands[second].units;
  });
  std::vector<std::uint64_t> shares(demands.size(), 0);
  for (std::size_t begin = 0; begin < order.size();) {
    std::size_t end = begin;
    while (end < order.size() && demands[order[end]].priority == demands[order[begin]].priority) {
      ++end;
    }
    // Demands are in ascending order, so capacity that small ones leave is divided among the rest.
    for (; begin < end; ++begin) {
      const std::uint64_t fair = capacity / (end - begin);
      shares[order[begin]] = std::min(demands[order[begin]].units, fair);
      capacity -= shares[order[begin]];
    }
  }
  return shares;
}

}  // namespace wagtailpick::control
