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

// Guards against answers that are reported twice or not at all.
Test(recorder, returns_observations_since_the_last_call) {
  Recorder recorder;
  recorder.End(recorder.Begin("a", kExpected, kStart), Ending::kAnswered,
               kStart + milliseconds(300));
  const auto observations = recorder.Consume(kStart + seconds(1));
  cr_assert(observations.size() == 1);
  cr_expect((observations.front() == observation::Observation{"a", 1, 0, 0, 0}));
  cr_expect(recorder.Consume(kStart + seconds(1)).empty());
}

// Guards against a slow upstream that is detected only when its answers arrive.
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

// Guards against a healthy upstream that counts as failing because a caller disconnected.
Test(recorder, ignores_a_request_that_was_given_up) {
  Recorder recorder;
  recorder.End(recorder.Begin("a", kExpected, kStart), Ending::kUnknown,
               kStart + milliseconds(100));
  cr_expect(recorder.Consume(kStart + seconds(1)).empty());
  recorder.End(recorder.Begin("a", kExpected, kStart), Ending::kFailed, kStart + milliseconds(100));
  cr_expect(recorder.Consume(kStart + seconds(1)).front().failed == 1);
}

// Guards against conditions that stay valid at an entry that receives no more messages.
Test(shared_conditions, are_valid_for_a_short_time) {
  observation::SharedConditions shared;
  shared.Apply({{"slow", true}, {"other", false}}, kStart);
  cr_expect(shared.IsEjected("slow", kStart + seconds(1)));
  cr_expect(!shared.IsEjected("other", kStart));
  cr_expect(!shared.IsEjected("slow", kStart + seconds(4)));
  shared.Apply({}, kStart + seconds(1));
  cr_expect(!shared.IsEjected("slow", kStart + seconds(1)));
}
