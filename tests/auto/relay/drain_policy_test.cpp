#include "relay/drain_policy.h"

#include <criterion/criterion.h>

#include <vector>

namespace {

using std::chrono::milliseconds;
using wagtailpick::base::Duration;
using wagtailpick::relay::AttemptOutlook;
using wagtailpick::relay::DecideWhileDraining;
using wagtailpick::relay::DrainDecision;
using wagtailpick::relay::IsStarted;

/// A request that was sent later than this after the signal must never be cut.
constexpr Duration kMayBeCutUntil = milliseconds(3'000);
constexpr Duration kStep = milliseconds(50);
constexpr Duration kLongestGrace = milliseconds(30'000);
/// Time that is kept for the end of the process.
constexpr Duration kMargin = milliseconds(300);

const std::vector<Duration>& Times() {
  static const std::vector<Duration> times{
      milliseconds(50),    milliseconds(400),   milliseconds(1'000),  milliseconds(2'000),
      milliseconds(4'000), milliseconds(8'000), milliseconds(20'000), milliseconds(600'000)};
  return times;
}

/// Calls `check` for all grace times, times since the signal, times left and expected times, for
/// idempotent requests and for others.
template <typename Check>
void ForAll(const Check& check) {
  for (Duration grace = milliseconds(500); grace <= kLongestGrace; grace = grace * 3 / 2) {
    for (Duration since{}; since <= grace + kStep; since += kStep) {
      for (const auto time_left : Times()) {
        for (const auto expected : Times()) {
          check(grace, since, {time_left, expected, true});
          check(grace, since, {time_left, expected, false});
        }
      }
    }
  }
}

}  // namespace

// Guards against requests that are taken after the signal to stop and then cut: until 3.4 s after
// it, each request was passed on, and 5.7 s after it those that still ran were cut.
Test(drain_policy, cuts_nothing_that_was_taken_late) {
  ForAll([](Duration grace, Duration since, const AttemptOutlook& attempt) {
    const auto decision = DecideWhileDraining(since, grace, attempt);
    if (!IsStarted(decision)) return;
    const bool ends_in_time = since + attempt.time_left < grace;
    const bool is_excused = since <= kMayBeCutUntil && since + attempt.expected < grace;
    cr_assert(ends_in_time || is_excused, "grace %lld, since %lld, left %lld, expected %lld",
              static_cast<long long>(grace.count()), static_cast<long long>(since.count()),
              static_cast<long long>(attempt.time_left.count()),
              static_cast<long long>(attempt.expected.count()));
  });
}

// Guards against an entry that refuses what it could serve: that holds any limit and serves nobody.
Test(drain_policy, takes_what_ends_in_time) {
  ForAll([](Duration grace, Duration since, const AttemptOutlook& attempt) {
    const auto decision = DecideWhileDraining(since, grace, attempt);
    if (since + attempt.time_left + kMargin <= grace) {
      cr_assert(decision == DrainDecision::kEndsBeforeStop);
    }
    const bool may_rely_on_expected = attempt.idempotent && since <= milliseconds(2'500);
    const bool fits_twice = since + 2 * attempt.expected + kMargin <= grace;
    if (may_rely_on_expected && fits_twice) cr_assert(IsStarted(decision));
  });
}

// Guards against a payment that outlasts the entry because it took longer than expected: it may
// have run, and its caller must not send it again.
Test(drain_policy, starts_nothing_that_cannot_be_sent_again_by_its_expected_time) {
  ForAll([](Duration grace, Duration since, const AttemptOutlook& attempt) {
    if (attempt.idempotent) return;
    const bool started = IsStarted(DecideWhileDraining(since, grace, attempt));
    cr_assert(started == (since + attempt.time_left + kMargin <= grace));
  });
}

// Guards against a request that is refused at an entry and taken by the same entry later.
Test(drain_policy, what_is_refused_once_stays_refused) {
  const Duration grace = milliseconds(6'000);
  for (const bool idempotent : {true, false}) {
    for (const auto time_left : Times()) {
      for (const auto expected : Times()) {
        bool refused = false;
        for (Duration since{}; since <= grace; since += kStep) {
          const bool started =
              IsStarted(DecideWhileDraining(since, grace, {time_left, expected, idempotent}));
          cr_assert(!(refused && started));
          refused = refused || !started;
        }
      }
    }
  }
}

// The decisions with the usual grace time of 6 s.
Test(drain_policy, names_what_decided) {
  const auto decide = [](int since, int time_left, int expected, bool idempotent = true) {
    return DecideWhileDraining(milliseconds(since), milliseconds(6'000),
                               {milliseconds(time_left), milliseconds(expected), idempotent});
  };
  cr_expect(decide(3'600, 2'000, 300) == DrainDecision::kEndsBeforeStop);
  cr_expect(decide(2'000, 8'000, 1'600) == DrainDecision::kExpectedBeforeStop);
  cr_expect(decide(2'400, 8'000, 2'500) == DrainDecision::kTooLong);
  cr_expect(decide(2'600, 4'000, 100) == DrainDecision::kTooLate);
  cr_expect(decide(1'600, 4'000, 100, false) == DrainDecision::kEndsBeforeStop);
  cr_expect(decide(1'800, 4'000, 100, false) == DrainDecision::kNotRepeatable);
}
