#include "catalog/split_picker.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <ctime>
#include <map>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace wagtailpick::catalog;  // NOLINT(google-build-using-namespace)

constexpr std::uint32_t kMaxWeight = UINT32_MAX;
/// Processor time in seconds that no test of large weights needs a hundredth of.
constexpr double kMaxCpuSeconds = 1.0;
/// The rule on weights: the largest deviation of a share after `kRuleRequests` requests.
constexpr double kMaxDeviation = 0.2;
constexpr int kRuleRequests = 200;

Route Split(const std::vector<std::uint32_t>& weights) {
  Route route;
  route.name = "r";
  for (std::size_t i = 0; i < weights.size(); ++i) {
    route.targets.push_back({"service-" + std::to_string(i), weights[i]});
  }
  return route;
}

double CpuSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

/// Largest difference of a target's share of `counts` from that of its weight.
double Deviation(const Route& route, std::map<std::string, int>& counts) {
  double total = 0;
  double requests = 0;
  for (const auto& target : route.targets) {
    total += target.weight;
    requests += counts[target.service];
  }
  double deviation = 0;
  for (const auto& target : route.targets) {
    const double share = counts[target.service] / requests;
    deviation = std::max(deviation, std::abs(share - target.weight / total));
  }
  return deviation;
}

std::vector<SplitPicker> Entries(std::size_t count) {
  std::mt19937_64 random(5);
  std::vector<SplitPicker> entries;
  entries.reserve(count);
  while (entries.size() < count) entries.emplace_back(random());
  return entries;
}

std::vector<std::vector<std::uint32_t>> ManySplits() {
  return {{90, 10},
          {1, 1},
          {1, 1, 1, 1, 1, 1, 1},
          {40, 30, 20},
          {0, 5, 5},
          {1, 1, 4'000'000'000},
          {4'000'000'000, 3'000'000'000, 2'000'000'000},
          {kMaxWeight, kMaxWeight, kMaxWeight, kMaxWeight},
          {kMaxWeight, 1},
          {65'536, 1, 4'294'901'760},
          {7, 900'001, 13, 450'001}};
}

}  // namespace

// Guards against a pick that takes a time in proportion to the weights: an entry answered nothing
// for seconds after a change to weights of some 10^9.
Test(split_picker, picks_at_once_whatever_the_weights) {
  const auto begin = CpuSeconds();
  for (int round = 0; round < 100; ++round) {
    for (const auto& weights : ManySplits()) {
      SplitPicker picker(static_cast<std::uint64_t>(round) * 0x9e3779b97f4a7c15U);
      for (std::uint32_t change = 0; change < 3; ++change) {
        auto changed = weights;
        changed[0] -= std::min(changed[0], change);
        picker.Pick(Split(changed));
      }
      cr_assert(CpuSeconds() - begin < kMaxCpuSeconds, "weight %u takes too long", weights[0]);
    }
  }
}

// Guards against entries that all begin with the same target: with few requests each, the shares
// would be those of the first targets.
Test(split_picker, keeps_shares_over_many_entries_with_few_requests_each) {
  for (const int requests : {1, 2, 5}) {
    for (const auto& weights : ManySplits()) {
      const auto route = Split(weights);
      std::map<std::string, int> counts;
      for (auto& entry : Entries(static_cast<std::size_t>(kRuleRequests / requests))) {
        for (int i = 0; i < requests; ++i) ++counts[entry.Pick(route)];
      }
      const double deviation = Deviation(route, counts);
      cr_expect(deviation < kMaxDeviation / 2, "%d requests each, weights of %u, %u: %.3f off",
                requests, weights[0], weights[1], deviation);
    }
  }
}

// Guards against a share that an entry owes for long after a change.
Test(split_picker, keeps_shares_of_one_entry_soon_after_a_change) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 200; ++round) {
    SplitPicker picker(random());
    picker.Pick(Split({1, 1}));
    for (const auto& weights : ManySplits()) {
      const auto route = Split(weights);
      std::map<std::string, int> counts;
      for (int i = 0; i < kRuleRequests; ++i) ++counts[picker.Pick(route)];
      cr_expect(Deviation(route, counts) < 0.02, "weights of %u, %u", weights[0], weights[1]);
    }
  }
}

// Guards against a sequence that starts at the same position after each change: while a weight
// changes every second, an entry would send all its requests to the same target.
Test(split_picker, keeps_shares_while_the_weights_change_all_the_time) {
  for (auto& entry : Entries(20)) {
    std::map<std::string, int> counts;
    for (int i = 0; i < kRuleRequests; i += 2) {
      const auto route = Split({700 + static_cast<std::uint32_t>(i % 4), 300});
      ++counts[entry.Pick(route)];
      ++counts[entry.Pick(route)];
    }
    cr_expect(Deviation(Split({701, 300}), counts) < 0.05);
  }
}

// Guards against a start that no sequence from equal credits reaches: each cycle has to give every
// target its weight, also for splits of many targets.
Test(split_picker, gives_each_target_its_weight_in_every_cycle) {
  std::mt19937_64 random(11);
  for (int round = 0; round < 500; ++round) {
    std::vector<std::uint32_t> weights(2 + random() % 5);
    for (auto& weight : weights) weight = static_cast<std::uint32_t>(random() % 20);
    weights[0] += 1;
    const auto route = Split(weights);
    const auto cycle = std::accumulate(weights.begin(), weights.end(), 0U);
    SplitPicker picker(random());
    for (int i = 0; i < 3; ++i) {
      std::map<std::string, int> counts;
      for (std::uint32_t pick = 0; pick < cycle; ++pick) ++counts[picker.Pick(route)];
      for (const auto& target : route.targets) {
        const auto off = counts[target.service] - static_cast<int>(target.weight);
        cr_expect(std::abs(off) <= 1, "round %d: %d off", round, off);
      }
    }
  }
}
