#include "observation/recorder.h"

#include <criterion/criterion.h>

#include "observation/shared_conditions.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using observation::Ending;
using observation::Recorder;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::MonotonicTime kStart{seconds(100)};
constexpr base::Duration kExpected = milliseconds(200);

}  // namespace

// Guards against answers that are told twice, or not at all.
Test(recorder, tells_what_was_seen_since_the_last_time) {
  Recorder recorder;
  recorder.End(recorder.Begin("a", kExpected, kStart), Ending::kAnswered,
               kStart + milliseconds(300));
  const auto seen = recorder.Consume(kStart + seconds(1));
  cr_assert(seen.size() == 1);
  cr_expect((seen.front() == observation::Observation{"a", 1, 0, 0, 0}));
  cr_expect(recorder.Consume(kStart + seconds(1)).empty());
}

// Guards against a slow upstream that is noticed only when its answers come.
Test(recorder, counts_an_overdue_request_once) {
  Recorder recorder;
  const auto number = recorder.Begin("slow", kExpected, kStart);
  cr_expect(recorder.Consume(kStart + milliseconds(300)).empty());
  const auto overdue = recorder.Consume(kStart + seconds(1));
  cr_assert(overdue.size() == 1);
  cr_expect(overdue.front().slow == 1 && overdue.front().entries == 1);
  recorder.End(number, Ending::kAnswered, kStart + seconds(2));
  cr_expect(recorder.Consume(kStart + seconds(2)).empty());
}

// Guards against a caller that leaves and makes a sound upstream look bad.
Test(recorder, draws_nothing_from_a_request_that_was_given_up) {
  Recorder recorder;
  recorder.End(recorder.Begin("a", kExpected, kStart), Ending::kUnknown,
               kStart + milliseconds(100));
  cr_expect(recorder.Consume(kStart + seconds(1)).empty());
  recorder.End(recorder.Begin("a", kExpected, kStart), Ending::kFailed, kStart + milliseconds(100));
  cr_expect(recorder.Consume(kStart + seconds(1)).front().failed == 1);
}

// Guards against conditions that count for ever at an entry that hears no more of any.
Test(shared_conditions, count_for_a_short_time) {
  observation::SharedConditions shared;
  shared.Apply({{"slow", true}, {"other", false}}, kStart);
  cr_expect(shared.IsEjected("slow", kStart + seconds(1)));
  cr_expect(!shared.IsEjected("other", kStart));
  cr_expect(!shared.IsEjected("slow", kStart + seconds(4)));
  shared.Apply({}, kStart + seconds(1));
  cr_expect(!shared.IsEjected("slow", kStart + seconds(1)));
}
