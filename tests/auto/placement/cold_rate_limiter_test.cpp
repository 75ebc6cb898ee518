#include "placement/cold_rate_limiter.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using base::MonotonicTime;
using std::chrono::milliseconds;

/// Requests to one cold upstream in the worst second, when each entry sends whenever it may.
std::size_t WorstSecond(std::size_t entry_count, const placement::ColdRateLimit& bound,
                        double rate) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < entry_count; ++i) names.push_back("e" + std::to_string(i));
  std::vector<placement::ColdRateLimiter> entries;
  for (const auto& name : names) {
    entries.emplace_back(name, bound);
    entries.back().SetEntries(names);
  }
  catalog::Service service;
  service.cold_rate = rate;
  std::vector<std::int64_t> sent;
  for (std::int64_t ms = 0; ms < 8'000; ms += 5) {
    for (auto& entry : entries) {
      if (entry.Allows("i-1", service, MonotonicTime() + milliseconds(ms))) {
        entry.Count("i-1", MonotonicTime() + milliseconds(ms));
        sent.push_back(ms);
      }
    }
  }
  std::size_t worst = 0;
  for (const auto start : sent) {
    worst = std::max(
        worst, static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [start](auto at) {
          return at >= start && at < start + 1'000;
        })));
  }
  return worst;
}

}  // namespace

// Guards against a cold upstream that all entries find idle at the same moment.
Test(cold_rate_limiter, keeps_the_sum_over_entries_within_the_bound) {
  for (const std::size_t entries : {1UL, 9UL, 11UL, 70UL}) {
    const auto worst = WorstSecond(entries, {1.5, 5}, 2.6);
    cr_expect(worst <= 8);
    cr_expect(worst >= 5);
  }
  cr_expect(WorstSecond(11, {1.5, 5}, 7.4) <= 16);
}
