#include "observation/outlier_detector.h"

#include <criterion/criterion.h>

#include <algorithm>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using observation::Condition;
using observation::Observation;
using observation::OutlierDetector;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::MonotonicTime kStart{seconds(100)};

std::vector<Condition> ConditionsOf(OutlierDetector& detector, base::MonotonicTime now) {
  return detector.Evaluate(now, [](const std::string&) { return std::string("service"); });
}

Observation Slow(const std::string& upstream, std::uint32_t entries = 1) {
  return {upstream, 0, entries, 0, entries};
}

Observation Failed(const std::string& upstream, std::uint32_t entries = 1) {
  return {upstream, 0, 0, entries, entries};
}

Observation Good(const std::string& upstream, std::uint32_t count = 1) {
  return {upstream, count, 0, 0, 0};
}

/// Others of the service that answer well.
void TakeOthers(OutlierDetector& detector, base::MonotonicTime now) {
  for (int i = 0; i < 9; ++i) detector.AddObservations({Good("other" + std::to_string(i), 3)}, now);
}

bool IsEjected(OutlierDetector& detector, base::MonotonicTime now) {
  const auto conditions = ConditionsOf(detector, now);
  return !conditions.empty() && conditions.front().ejected;
}

/// A detector that spares upstream "a" since `kStart`.
OutlierDetector Sparing() {
  OutlierDetector detector;
  TakeOthers(detector, kStart);
  detector.AddObservations({Slow("a", 3)}, kStart);
  cr_assert(IsEjected(detector, kStart));
  return detector;
}

}  // namespace

// Guards against a slow upstream that no entry meets often enough to learn of it alone.
Test(detector, spares_what_several_entries_saw) {
  OutlierDetector detector;
  TakeOthers(detector, kStart);
  detector.AddObservations({Slow("a")}, kStart);
  detector.AddObservations({Slow("a")}, kStart + milliseconds(500));
  cr_expect(!IsEjected(detector, kStart + milliseconds(500)));
  detector.AddObservations({Slow("a")}, kStart + seconds(1));
  cr_expect(IsEjected(detector, kStart + seconds(1)));
}

// Guards against an upstream that answers some requests and fails the others.
Test(detector, spares_what_fails_in_part) {
  OutlierDetector detector;
  TakeOthers(detector, kStart);
  detector.AddObservations({Failed("a", 3), Good("a", 5)}, kStart);
  cr_expect(IsEjected(detector, kStart));
}

// Guards against a sound upstream that is taken away by the bad luck of one entry.
Test(detector, one_entry_alone_spares_nothing) {
  OutlierDetector detector;
  TakeOthers(detector, kStart);
  detector.AddObservations({{"a", 0, 9, 0, 1}}, kStart);
  cr_expect(!IsEjected(detector, kStart));
}

// Guards against old words that add up, and against an upstream that runs some objects cold.
Test(detector, weighs_recent_requests_only) {
  OutlierDetector detector;
  for (int i = 0; i < 5; ++i) {
    TakeOthers(detector, kStart + seconds(4 * i));
    detector.AddObservations({Slow("a")}, kStart + seconds(4 * i));
  }
  cr_expect(!IsEjected(detector, kStart + seconds(16)));
  OutlierDetector mixed;
  TakeOthers(mixed, kStart);
  mixed.AddObservations({Slow("a", 3), Good("a", 3)}, kStart);
  cr_expect(!IsEjected(mixed, kStart));
}

// Guards against upstreams that are ejected because the whole service is cold, or fails.
Test(detector, spares_nothing_that_is_as_bad_as_the_others) {
  OutlierDetector detector;
  for (int i = 0; i < 20; ++i) {
    detector.AddObservations({Slow(std::to_string(i), 3), Good(std::to_string(i))}, kStart);
  }
  detector.AddObservations({Slow("20", 5)}, kStart);
  cr_expect(ConditionsOf(detector, kStart).empty());
}

// Guards against an upstream that is well again and gets no work.
Test(detector, uses_an_upstream_again_that_answers_well) {
  auto detector = Sparing();
  detector.AddObservations({Good("a")}, kStart + seconds(2));
  cr_expect(IsEjected(detector, kStart + seconds(2)));
  detector.AddObservations({Good("a")}, kStart + seconds(3));
  cr_expect(!IsEjected(detector, kStart + seconds(3)));
  auto unseen = Sparing();
  cr_expect(unseen.Evaluate(kStart + seconds(7), [](const auto&) { return ""; }).empty());
}

// Guards against a slow upstream that gets all its work back every few seconds.
Test(detector, keeps_sparing_while_probes_are_bad) {
  auto detector = Sparing();
  for (int second = 2; second <= 20; second += 2) {
    TakeOthers(detector, kStart + seconds(second));
    detector.AddObservations({Slow("a")}, kStart + seconds(second));
    cr_expect(IsEjected(detector, kStart + seconds(second)));
  }
}

// Guards against a service that is taken out of use upstream by upstream.
Test(detector, spares_a_part_of_a_service_at_most) {
  OutlierDetector detector;
  for (int i = 0; i < 9; ++i)
    detector.AddObservations({Good("other" + std::to_string(i), 9)}, kStart);
  for (int i = 0; i < 6; ++i) detector.AddObservations({Slow(std::to_string(i), 3)}, kStart);
  const auto conditions = ConditionsOf(detector, kStart);
  cr_expect(conditions.size() == 4, "%zu", conditions.size());
}
