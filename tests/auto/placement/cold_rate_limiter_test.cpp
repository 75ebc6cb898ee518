#include "placement/cold_rate_limiter.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using base::MonotonicTime;
using std::chrono::milliseconds;

/// Returns the most requests to one cold upstream in any second if each entry sends when it may.
std::size_t MaxRequestsPerSecond(std::size_t entry_count, const placement::ColdRateLimit& limit,
                                 double rate) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < entry_count; ++i) names.push_back("e" + std::to_string(i));
  std::vector<placement::ColdRateLimiter> entries;
  for (const auto& name : names) {
    entries.emplace_back(name, limit);
    entries.back().SetEntries(names);
  }
  catalog::Service service;
  service.cold_rate = rate;
  std::vector<std::int64_t> sent;
  for (std::int64_t ms = 0; ms < 8'000; ms += 5) {
    for (auto& entry : entries) {
      if (entry.Allows("i-1", service, MonotonicTime() + milliseconds(ms))) {
        entry.RecordRequest("i-1", MonotonicTime() + milliseconds(ms));
        sent.push_back(ms);
      }
    }
  }
  std::size_t maximum = 0;
  for (const auto start : sent) {
    maximum = std::max(
        maximum, static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [start](auto at) {
          return at >= start && at < start + 1'000;
        })));
  }
  return maximum;
}

}  // namespace

// Guards against a burst of requests to a cold upstream that all entries find idle at once.
Test(cold_rate_limiter, keeps_the_sum_over_entries_within_the_limit) {
  for (const std::size_t entries : {1UL, 9UL, 11UL, 70UL}) {
    const auto maximum = MaxRequestsPerSecond(entries, {1.5, 5}, 2.6);
    cr_expect(maximum <= 8);
    cr_expect(maximum >= 5);
  }
  cr_expect(MaxRequestsPerSecond(11, {1.5, 5}, 7.4) <= 16);
}

// Guards against a cold upstream whose spent shares are granted again because many other upstreams
// got requests meanwhile.
Test(cold_rate_limiter, keeps_spent_shares_beside_many_upstreams) {
  placement::ColdRateLimiter limiter("e1", {1.5, 5});
  limiter.SetEntries({"e1"});
  catalog::Service service;
  service.cold_rate = 2.6;
  const MonotonicTime start{std::chrono::seconds(1)};
  while (limiter.Allows("i-1", service, start)) limiter.RecordRequest("i-1", start);
  for (int i = 0; i < 1'100; ++i) {
    limiter.RecordRequest("other-" + std::to_string(i), start + milliseconds(1));
  }
  cr_expect(!limiter.Allows("i-1", service, start + milliseconds(2)));
}

// Guards against memory that grows with each cold upstream there ever was.
Test(cold_rate_limiter, forgets_upstreams_after_their_window) {
  placement::ColdRateLimiter limiter("e1", {1.5, 5});
  limiter.SetEntries({"e1"});
  for (int i = 0; i < 20'000; ++i) {
    limiter.RecordRequest("i-" + std::to_string(i), MonotonicTime() + milliseconds(10 * i));
  }
  cr_expect(limiter.recorded_upstreams() <= 1'100);
}

// Guards against records that grow with each upstream that is sent a request within the window, and
// against one that is forgotten for lack of room, so that its spent share is granted again.
Test(cold_rate_limiter, allows_no_upstream_that_it_cannot_record) {
  placement::ColdRateLimiter limiter("e1", {1.5, 5});
  limiter.SetEntries({"e1"});
  catalog::Service service;
  service.cold_rate = 2.6;
  const MonotonicTime start{std::chrono::seconds(1)};
  while (limiter.Allows("i-1", service, start)) limiter.RecordRequest("i-1", start);
  for (int i = 0; i < 20'000; ++i) {
    const auto other = "other-" + std::to_string(i);
    if (limiter.Allows(other, service, start)) limiter.RecordRequest(other, start);
  }
  cr_expect(limiter.recorded_upstreams() <= 16'384);
  cr_expect(!limiter.Allows("i-1", service, start + milliseconds(1)));
  cr_expect(!limiter.Allows("new", service, start + milliseconds(1)));
  cr_expect(limiter.Allows("new", service, start + milliseconds(1'150)));
}

// Guards against a choice that ranks all entries for each upstream again, because the shares of
// more than 1,024 cold upstreams did not stay in the cache.
Test(cold_rate_limiter, computes_the_share_of_each_of_many_upstreams_once) {
  constexpr std::size_t kUpstreams = 10'000;
  placement::ColdRateLimiter limiter("e1", {1.5, 5});
  limiter.SetEntries({"e1", "e2"});
  catalog::Service service;
  service.cold_rate = 2.6;
  for (int round = 0; round < 2; ++round) {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      limiter.Allows("i-" + std::to_string(i), service, MonotonicTime() + milliseconds(round));
    }
  }
  cr_expect(limiter.computed_shares() == kUpstreams);
}

// Guards against a share that stays that of the entries or of the rate that were known before.
Test(cold_rate_limiter, follows_changes_of_entries_and_rate) {
  placement::ColdRateLimiter limiter("e1", {1.0, 0});
  limiter.SetEntries({"e1"});
  catalog::Service service;
  service.cold_rate = 4;
  const MonotonicTime start{std::chrono::seconds(1)};
  for (int i = 0; i < 3; ++i) limiter.RecordRequest("i-1", start);
  cr_expect(!limiter.Allows("i-1", service, start));
  service.cold_rate = 8;
  cr_expect(limiter.Allows("i-1", service, start));
  limiter.SetEntries({"e1", "e2"});
  cr_expect(!limiter.Allows("i-1", service, start));
}

// Guards against entries that start together and each take the whole limit before they know the
// others, and against an entry that is alone and never gets any.
Test(cold_rate_limiter, has_no_share_while_the_entries_are_unknown) {
  catalog::Service service;
  service.cold_rate = 2.6;
  placement::ColdRateLimiter limiter("e1", {1.5, 5});
  cr_expect(!limiter.Allows("i-1", service, MonotonicTime()));
  limiter.SetEntries({"e1"});
  cr_expect(limiter.Allows("i-1", service, MonotonicTime()));
}
