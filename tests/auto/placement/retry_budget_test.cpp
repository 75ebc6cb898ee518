#include "placement/retry_budget.h"

#include <criterion/criterion.h>

#include <vector>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using base::MonotonicTime;
using std::chrono::milliseconds;

}  // namespace

// Guards against retries beyond the limit that all entries share, in any window, also when requests
// arrive in bursts and entries retry as soon as they may.
Test(retry_budget, keeps_the_sum_over_entries_within_the_limit) {
  constexpr std::size_t kEntries = 9;
  const placement::RetryLimit limit{0.2, 58, std::chrono::seconds(10)};
  std::vector<placement::RetryBudget> entries(kEntries, placement::RetryBudget(limit));
  for (auto& entry : entries) entry.SetEntries(kEntries);
  std::vector<std::int64_t> requests;
  std::vector<std::int64_t> retries;
  for (std::int64_t ms = 0; ms < 60'000; ms += 10) {
    const MonotonicTime now = MonotonicTime() + milliseconds(ms);
    const bool burst = ms / 4'000 % 2 == 0;
    auto& entry = entries[static_cast<std::size_t>(ms / 10) % kEntries];
    for (int i = 0; i < (burst ? 6 : 1); ++i) {
      entry.RecordRequest("s", now);
      requests.push_back(ms);
    }
    while (entry.TryRetry("s", now)) retries.push_back(ms);
  }
  for (std::int64_t end = 10'000; end <= 60'000; end += 250) {
    const auto in_window = [end](const std::vector<std::int64_t>& times) {
      return std::count_if(times.begin(), times.end(),
                           [end](auto at) { return at > end - 10'000 && at <= end; });
    };
    const double allowed = 0.2 * static_cast<double>(in_window(requests)) + 58;
    cr_assert(static_cast<double>(in_window(retries)) <= allowed);
  }
  cr_expect(retries.size() > 500);
}

// Guards against entries that start together and each take the whole slack of the retry limit
// before they know the others.
Test(retry_budget, has_no_slack_while_the_entries_are_unknown) {
  constexpr std::size_t kEntries = 185;
  const placement::RetryLimit limit{0.2, 58, std::chrono::seconds(10)};
  std::vector<placement::RetryBudget> entries(kEntries, placement::RetryBudget(limit));
  int requests = 0;
  int retries = 0;
  for (auto& entry : entries) {
    for (int i = 0; i < 20; ++i, ++requests) entry.RecordRequest("s", MonotonicTime());
    while (entry.TryRetry("s", MonotonicTime())) ++retries;
  }
  cr_expect(retries <= 0.2 * requests + 58, "%d retries", retries);
  // The part that a request earns is there from the beginning.
  cr_expect(retries > 0);
}
