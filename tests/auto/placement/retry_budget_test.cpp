#include "placement/retry_budget.h"

#include <criterion/criterion.h>

#include <vector>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using base::MonotonicTime;
using std::chrono::milliseconds;

}  // namespace

// Guards against resends beyond the bound that all entries share, in any window, also when requests
// come in bursts and entries resend as soon as they may.
Test(retry_budget, keeps_the_sum_over_entries_within_the_bound) {
  constexpr std::size_t kEntries = 9;
  const placement::RetryLimit bound{0.2, 58, std::chrono::seconds(10)};
  std::vector<placement::RetryBudget> entries(kEntries, placement::RetryBudget(bound));
  for (auto& entry : entries) entry.SetEntries(kEntries);
  std::vector<std::int64_t> requests;
  std::vector<std::int64_t> resends;
  for (std::int64_t ms = 0; ms < 60'000; ms += 10) {
    const MonotonicTime now = MonotonicTime() + milliseconds(ms);
    const bool burst = ms / 4'000 % 2 == 0;
    auto& entry = entries[static_cast<std::size_t>(ms / 10) % kEntries];
    for (int i = 0; i < (burst ? 6 : 1); ++i) {
      entry.RecordRequest("s", now);
      requests.push_back(ms);
    }
    while (entry.TryRetry("s", now)) resends.push_back(ms);
  }
  for (std::int64_t end = 10'000; end <= 60'000; end += 250) {
    const auto in_window = [end](const std::vector<std::int64_t>& times) {
      return std::count_if(times.begin(), times.end(),
                           [end](auto at) { return at > end - 10'000 && at <= end; });
    };
    const double allowed = 0.2 * static_cast<double>(in_window(requests)) + 58;
    cr_assert(static_cast<double>(in_window(resends)) <= allowed);
  }
  cr_expect(resends.size() > 500);
}
