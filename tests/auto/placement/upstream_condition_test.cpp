#include "placement/upstream_condition.h"

#include <criterion/criterion.h>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using base::MonotonicTime;
using placement::UpstreamCondition;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(1'000)};
/// More objects than the record of one upstream holds.
constexpr std::uint64_t kManyObjects = 1'000;
constexpr std::size_t kMaxRecordedObjects = 256;

}  // namespace

// Guards against memory that grows with each object that callers name within the 20 s for which an
// upstream counts as warm, and against a request that then scans all of them.
Test(upstream_condition, bounds_its_objects_and_keeps_the_latest) {
  UpstreamCondition condition;
  auto now = kStart;
  for (std::uint64_t object = 1; object <= kManyObjects; ++object) {
    now += milliseconds(1);
    condition.RecordObject(object, now);
  }
  cr_expect(condition.recorded_objects() <= kMaxRecordedObjects);
  cr_expect(condition.IsWarmFor(kManyObjects, now));
  cr_expect(condition.IsWarmFor(kManyObjects - kMaxRecordedObjects + 1, now));
  cr_expect(!condition.IsWarmFor(1, now));
}

// Guards against expired objects that stay in memory until there are 256 at each of thousands of
// upstreams.
Test(upstream_condition, removes_expired_objects_below_its_bound) {
  UpstreamCondition condition;
  for (std::uint64_t object = 1; object <= 100; ++object) condition.RecordObject(object, kStart);
  condition.RecordObject(101, kStart + seconds(30));
  cr_expect(condition.recorded_objects() == 1);
}

// Guards against an object in constant use that counts as cold because its first request was the
// longest ago.
Test(upstream_condition, stays_warm_for_an_object_in_use_beside_many_others) {
  UpstreamCondition condition;
  auto now = kStart;
  constexpr std::uint64_t kInUse = 1;
  for (std::uint64_t other = 2; other <= kManyObjects; ++other) {
    now += milliseconds(1);
    condition.RecordObject(other, now);
    if (other % 100 == 0) condition.RecordObject(kInUse, now);
  }
  cr_expect(condition.IsWarmFor(kInUse, now));
}
