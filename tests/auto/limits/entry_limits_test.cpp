#include "limits/entry_limits.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <vector>

namespace {

using namespace wagtailpick;          // NOLINT(google-build-using-namespace)
using namespace wagtailpick::limits;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::MonotonicTime kStart{seconds(1'000)};
constexpr std::int64_t kRun = 5;

/// Returns the times at which entries without replicas send to "u" when they want to at each 10 ms.
std::vector<base::MonotonicTime> SendByShares(std::vector<EntryLimits>& entries,
                                              const RateLimit& limit, base::Duration length) {
  std::vector<base::MonotonicTime> sent;
  for (auto now = kStart; now < kStart + length; now += milliseconds(10)) {
    for (auto& entry : entries) {
      if (entry.TakeShare("u", limit, now).granted) sent.push_back(now);
    }
  }
  return sent;
}

std::size_t MostInWindow(const std::vector<base::MonotonicTime>& sent, base::Duration window) {
  std::size_t most = 0;
  for (auto first = sent.begin(); first != sent.end(); ++first) {
    const auto end = std::lower_bound(first, sent.end(), *first + window);
    most = std::max(most, static_cast<std::size_t>(end - first));
  }
  return most;
}

}  // namespace

// Guards against entries that together exceed a limit while no replica can be reached, also when
// their counts of entries differ, and against an upstream that gets nothing meanwhile.
Test(entry_limits, shares_half_of_a_limit_without_replicas) {
  for (const std::size_t count : {std::size_t{1}, std::size_t{11}, std::size_t{185}}) {
    std::vector<EntryLimits> entries;
    entries.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
      entries.emplace_back("e" + std::to_string(i));
      entries.back().SetEntryCount(std::max<std::size_t>(count - i % 3, 1));
    }
    const double rate = 2.4;
    const auto sent = SendByShares(entries, {kRun, rate, false, kStart}, seconds(200));
    cr_expect(MostInWindow(sent, seconds(4)) <= 19, "%zu entries", count);
    cr_expect(sent.size() >= 200, "%zu sent by %zu entries", sent.size(), count);
    cr_expect(sent.size() <= 300, "%zu sent by %zu entries", sent.size(), count);
  }
}

// Guards against entries that take themselves for the only one before they know the others.
Test(entry_limits, has_no_share_while_the_entries_are_unknown) {
  std::vector<EntryLimits> entries;
  entries.reserve(185);
  for (int i = 0; i < 185; ++i) entries.emplace_back("e" + std::to_string(i));
  cr_expect(SendByShares(entries, {kRun, 2.4, false, kStart}, seconds(20)).empty());
}

// Guards against all entries that return to an upstream at the moment in which its limit ends.
Test(entry_limits, entries_resume_one_after_another) {
  std::vector<EntryLimits> entries;
  entries.reserve(100);
  for (int i = 0; i < 100; ++i) {
    entries.emplace_back("e" + std::to_string(i));
    entries.back().table().Apply({"u", kRun, 2, true, {}}, kStart);
  }
  const auto resumed = [&](base::Duration after) {
    return std::count_if(entries.begin(), entries.end(), [&](const auto& entry) {
      return entry.FindBinding("u", kRun, kStart + after) == nullptr;
    });
  };
  cr_expect(resumed(milliseconds(0)) == 0);
  cr_expect(resumed(milliseconds(1'000)) > 30 && resumed(milliseconds(1'000)) < 70);
  cr_expect(resumed(milliseconds(2'000)) == 100);
}

// Guards against urgent requests that are held back because a less urgent one got no token.
Test(entry_limits, holds_urgent_requests_back_by_their_own_answers) {
  EntryLimits entry("e");
  const auto until = kStart + seconds(1);
  entry.HoldBack("u", false, until);
  cr_expect(entry.held_back_until("u", false) == until);
  cr_expect(entry.held_back_until("u", true) < kStart);
  entry.HoldBack("u", true, until + seconds(1));
  cr_expect(entry.held_back_until("u", true) == until + seconds(1));
  cr_expect(entry.held_back_until("u", false) == until + seconds(1));
  entry.RemoveIf([](const std::string&, const RateLimit&) { return false; }, kStart + seconds(9));
  cr_expect(entry.held_back_until("u", true) == base::MonotonicTime::min());
}
