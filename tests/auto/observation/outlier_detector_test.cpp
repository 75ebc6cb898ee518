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

/// Adds good answers of nine other upstreams of the service.
void AddHealthyUpstreams(OutlierDetector& detector, base::MonotonicTime now) {
  for (int i = 0; i < 9; ++i) detector.AddObservations({Good("other" + std::to_string(i), 3)}, now);
}

bool IsEjected(OutlierDetector& detector, base::MonotonicTime now) {
  const auto conditions = ConditionsOf(detector, now);
  return !conditions.empty() && conditions.front().ejected;
}

/// Returns a detector that has ejected the upstream "a" at `kStart`.
OutlierDetector DetectorWithEjectedUpstream() {
  OutlierDetector detector;
  AddHealthyUpstreams(detector, kStart);
  detector.AddObservations({Slow("a", 3)}, kStart);
  cr_assert(IsEjected(detector, kStart));
  return detector;
}

}  // namespace

// Guards against a slow upstream that stays in use because each entry sends it too few requests to
// detect this alone.
Test(outlier_detector, ejects_an_upstream_that_several_entries_saw_slow) {
  OutlierDetector detector;
  AddHealthyUpstreams(detector, kStart);
  detector.AddObservations({Slow("a")}, kStart);
  detector.AddObservations({Slow("a")}, kStart + milliseconds(500));
  cr_expect(!IsEjected(detector, kStart + milliseconds(500)));
  detector.AddObservations({Slow("a")}, kStart + seconds(1));
  cr_expect(IsEjected(detector, kStart + seconds(1)));
}

// Guards against an upstream that stays in use although it fails a large part of its requests.
Test(outlier_detector, ejects_an_upstream_that_fails_in_part) {
  OutlierDetector detector;
  AddHealthyUpstreams(detector, kStart);
  detector.AddObservations({Failed("a", 3), Good("a", 5)}, kStart);
  cr_expect(IsEjected(detector, kStart));
}

// Guards against a healthy upstream that is ejected because of the failures of one entry.
Test(outlier_detector, does_not_eject_on_observations_of_one_entry) {
  OutlierDetector detector;
  AddHealthyUpstreams(detector, kStart);
  detector.AddObservations({{"a", 0, 9, 0, 1}}, kStart);
  cr_expect(!IsEjected(detector, kStart));
}

// Guards against old observations that add up, and against an upstream that is ejected because some
// of its objects are cold.
Test(outlier_detector, counts_recent_requests_only) {
  OutlierDetector detector;
  for (int i = 0; i < 5; ++i) {
    AddHealthyUpstreams(detector, kStart + seconds(4 * i));
    detector.AddObservations({Slow("a")}, kStart + seconds(4 * i));
  }
  cr_expect(!IsEjected(detector, kStart + seconds(16)));
  OutlierDetector mixed;
  AddHealthyUpstreams(mixed, kStart);
  mixed.AddObservations({Slow("a", 3), Good("a", 3)}, kStart);
  cr_expect(!IsEjected(mixed, kStart));
}

// Guards against upstreams that are ejected although the whole service is cold or failing.
Test(outlier_detector, does_not_eject_when_the_whole_service_is_slow) {
  OutlierDetector detector;
  for (int i = 0; i < 20; ++i) {
    detector.AddObservations({Slow(std::to_string(i), 3), Good(std::to_string(i))}, kStart);
  }
  detector.AddObservations({Slow("20", 5)}, kStart);
  cr_expect(ConditionsOf(detector, kStart).empty());
}

// Guards against an upstream that has recovered and gets no requests.
Test(outlier_detector, ends_the_ejection_of_a_recovered_upstream) {
  auto detector = DetectorWithEjectedUpstream();
  detector.AddObservations({Good("a")}, kStart + seconds(2));
  cr_expect(IsEjected(detector, kStart + seconds(2)));
  detector.AddObservations({Good("a")}, kStart + seconds(3));
  cr_expect(!IsEjected(detector, kStart + seconds(3)));
  auto unseen = DetectorWithEjectedUpstream();
  cr_expect(unseen.Evaluate(kStart + seconds(7), [](const auto&) { return ""; }).empty());
}

// Guards against a slow upstream that is fully used again every few seconds.
Test(outlier_detector, keeps_the_ejection_while_probes_are_slow) {
  auto detector = DetectorWithEjectedUpstream();
  for (int second = 2; second <= 20; second += 2) {
    AddHealthyUpstreams(detector, kStart + seconds(second));
    detector.AddObservations({Slow("a")}, kStart + seconds(second));
    cr_expect(IsEjected(detector, kStart + seconds(second)));
  }
}

// Guards against a service whose upstreams are ejected one after the other until none is left.
Test(outlier_detector, ejects_at_most_a_part_of_a_service) {
  OutlierDetector detector;
  for (int i = 0; i < 9; ++i) {
    detector.AddObservations({Good("other" + std::to_string(i), 9)}, kStart);
  }
  for (int i = 0; i < 6; ++i) detector.AddObservations({Slow(std::to_string(i), 3)}, kStart);
  const auto conditions = ConditionsOf(detector, kStart);
  cr_expect(conditions.size() == 4, "%zu", conditions.size());
}
