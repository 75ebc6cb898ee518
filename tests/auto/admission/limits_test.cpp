#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <random>
#include <utility>

#include "admission/entry_limit.h"
#include "admission/outlier_state.h"
#include "admission/retry_budget.h"
#include "admission/share_window.h"
#include "admission/shift_headroom.h"
#include "admission/slow_start.h"

namespace wagtailpick::admission {
using base::Duration;
using base::MonotonicTime;

namespace {

MonotonicTime At(std::int64_t ms) { return MonotonicTime(std::chrono::milliseconds(ms)); }

constexpr Duration Ms(std::int64_t ms) { return std::chrono::milliseconds(ms); }

}  // namespace

// Guards against full load on cold caches, and against a slow start that never ends.
Test(slow_start, adds_a_slot_per_20_quick_answers_or_30_s) {
  SlowStart start;
  start.Restart(At(0));
  cr_expect(start.UsableSlots(3) == 1);
  for (int i = 0; i < 19; ++i) start.OnAnswer(Ms(15), Ms(10), 3, At(10));
  for (int i = 0; i < 50; ++i) start.OnAnswer(Ms(16), Ms(10), 3, At(10));
  cr_expect(start.UsableSlots(3) == 1, "slow answers do not count");
  start.OnAnswer(Ms(15), Ms(10), 3, At(20));
  cr_expect(start.UsableSlots(3) == 2);
  start.OnError(At(10'000));
  start.OnAnswer(Ms(99), Ms(10), 3, At(39'999));
  cr_expect(start.UsableSlots(3) == 2);
  start.OnAnswer(Ms(99), Ms(10), 3, At(40'000));
  cr_expect(start.UsableSlots(3) == 3 && !start.cold());
  start.Restart(At(50'000));
  for (int i = 0; i < 20; ++i) start.OnAnswer(Ms(99), {}, 3, At(50'001));
  cr_expect(start.UsableSlots(3) == 2, "without a reference every answer counts");
}

// Guards against an ejection after a few errors, and against one that never grows or never ends.
Test(outlier_state, ejection_time_doubles_up_to_one_minute) {
  OutlierState outlier;
  for (int i = 0; i < 10; ++i) outlier.Record(true);
  cr_expect(!outlier.ErrorShareTooHigh(), "10 of 20");
  outlier.Record(true);
  cr_expect(outlier.ErrorShareTooHigh());
  std::int64_t now = 0;
  for (const std::int64_t seconds : {5, 10, 20, 40, 60, 60}) {
    outlier.Eject(At(now));
    cr_expect(!outlier.ErrorShareTooHigh(), "the recorded outcomes are cleared");
    cr_expect(outlier.ejected(At(now + seconds * 1'000 - 1)));
    now += seconds * 1'000;
    cr_expect(!outlier.ejected(At(now)));
  }
  outlier.Eject(At(now + 60'000));
  cr_expect(!outlier.ejected(At(now + 65'000)), "5 s again after one minute without ejection");
  cr_expect(!MayEjectOneMore(0, 2) && MayEjectOneMore(0, 3) && !MayEjectOneMore(1, 5));
}

// Guards against retries beyond a tenth of the requests, and against a burst of retries after an
// idle period.
Test(retry_budget, allows_a_tenth_of_the_recent_requests) {
  RetryBudget budget;
  cr_expect(!budget.TryRetry(At(0)), "the budget starts empty");
  int retries = 0;
  for (int i = 0; i < 1'000; ++i) {
    budget.OnRequest(At(i));
    if (budget.TryRetry(At(i))) ++retries;
  }
  cr_expect(retries == 100);
  for (int i = 0; i < 1'000; ++i) budget.OnRequest(At(1'000 + i));
  retries = 0;
  while (retries < 1'000 && budget.TryRetry(At(1'999))) ++retries;
  cr_expect(retries == 100, "the budget of one second may be used at once");
  for (int i = 0; i < 1'000; ++i) budget.OnRequest(At(2'000 + i));
  retries = 0;
  while (retries < 1'000 && budget.TryRetry(At(10'000))) ++retries;
  cr_expect(retries == 1, "an idle period reduces the budget to one retry");
}

// Guards against an entry that exceeds its limit, and against requests of low priority that use the
// reserved part.
Test(entry_limit, last_fifth_is_reserved_for_the_highest_priority) {
  EntryLimit limit(10);
  limit.SetHighestPriority(5);
  for (int i = 0; i < 8; ++i) cr_expect(limit.TryAdmit(1) == EntryDecision::kAdmitted);
  cr_expect(limit.TryAdmit(4) == EntryDecision::kReserved);
  cr_expect(limit.TryAdmit(5) == EntryDecision::kAdmitted);
  cr_expect(limit.TryAdmit(5) == EntryDecision::kAdmitted);
  cr_expect(limit.TryAdmit(5) == EntryDecision::kFull);
  cr_expect(limit.Release() && limit.running() == 9);
  EntryLimit empty(1);
  cr_expect(!empty.Release());
}

// Guards against a shift into a pool that is full or of which this entry owns no upstream.
Test(shift_headroom, needs_more_free_slots_than_the_percentage) {
  cr_expect(!ShiftFitsHeadroom(0, 0, 0));
  cr_expect(!ShiftFitsHeadroom(0, 10, 0));
  cr_expect(!ShiftFitsHeadroom(2, 10, 20));
  cr_expect(ShiftFitsHeadroom(3, 10, 20));
  cr_expect(ShiftFitsHeadroom(1, 10, 0));
}

// Guards against a share that is used after it expired, replaced by that of an older reply, or
// exceeded.
Test(share_window, can_be_lowered_and_expires) {
  ShareWindow window;
  cr_expect(window.TryAdmit(1, At(0)) == ShareDecision::kExpired);
  cr_expect(window.Apply({At(0), 3}));
  for (int i = 0; i < 3; ++i) cr_expect(window.TryAdmit(1, At(100)) == ShareDecision::kAdmitted);
  cr_expect(window.TryAdmit(1, At(1'109)) == ShareDecision::kUsedUp);
  cr_expect(window.Available(At(1'110)) == 3);
  cr_expect(window.Apply({At(250), 1}));
  cr_expect(!window.Apply({At(125), 9}), "a reply to an earlier renewal");
  cr_expect(window.TryAdmit(2, At(1'200)) == ShareDecision::kLargerThanShare);
  cr_expect(window.TryAdmit(1, At(1'200)) == ShareDecision::kAdmitted);
  cr_expect(window.Available(At(2'229)) == 1);
  cr_expect(window.TryAdmit(1, At(2'230)) == ShareDecision::kExpired);
  window.Apply({At(2'000), 1});
  window.Revoke();
  cr_expect(window.Available(At(2'240)) == 0);
}

// Guards against answers larger than their reservation that are not charged to the share.
Test(share_window, debt_is_deducted_from_the_following_windows) {
  ShareWindow window;
  window.Apply({At(3'000), 100});
  cr_expect(window.TryAdmit(100, At(3'000)) == ShareDecision::kAdmitted);
  window.AddDebt(150, At(3'100));
  cr_expect(window.TryAdmit(1, At(3'500)) == ShareDecision::kUsedUp);
  window.Apply({At(4'500), 100});
  cr_expect(window.Available(At(5'019)) == 0, "100 are repaid at 4,010 ms");
  cr_expect(window.Available(At(5'020)) == 50, "50 are repaid at 5,020 ms");
  cr_expect(window.debt() == 0);
  cr_expect(window.Available(At(6'030)) == 100);
}

// Guards against errors in the bookkeeping of merged admissions, by comparison with a list of all
// admissions.
Test(share_window, agrees_with_a_list_of_all_admissions) {
  std::mt19937_64 random(11);
  ShareWindow window;
  std::deque<std::pair<std::int64_t, std::uint64_t>> list;
  std::int64_t now = 0;
  for (int i = 0; i < 20'000; ++i) {
    // Admissions at least 1 ms apart are never merged, so both must agree exactly.
    now += 1 + static_cast<std::int64_t>(random() % 20);
    window.Apply({At(now), 500});
    std::uint64_t used = 0;
    while (!list.empty() && list.front().first <= now - 1'010) list.pop_front();
    for (const auto& [at, amount] : list) used += amount;
    const std::uint64_t amount = 1 + random() % 30;
    const bool fits = used + amount <= 500;
    cr_assert((window.TryAdmit(amount, At(now)) == ShareDecision::kAdmitted) == fits);
    if (fits) list.emplace_back(now, amount);
  }
}

}  // namespace wagtailpick::admission
