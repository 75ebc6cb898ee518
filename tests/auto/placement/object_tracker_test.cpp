#include "placement/object_tracker.h"

#include <criterion/criterion.h>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using base::MonotonicTime;
using placement::ObjectTracker;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(1'000)};
/// The number of objects that are counted for a service.
constexpr std::uint64_t kMaxObjects = 20'000;
/// With so few upstreams, each object of many may use only one.
constexpr std::size_t kUpstreams = 50;

/// Records one request for each of `count` objects.
void RecordAll(ObjectTracker& tracker, std::uint64_t count, MonotonicTime now) {
  for (std::uint64_t object = 1; object <= count; ++object) tracker.RecordRequest("s", object, now);
}

}  // namespace

// Guards against objects in constant use that expire because they were not refreshed while the
// table was full. Each object then got a second upstream, cold for it.
Test(object_tracker, keeps_objects_in_use_at_its_limit) {
  ObjectTracker tracker;
  RecordAll(tracker, kMaxObjects, kStart);
  for (int second = 5; second <= 95; second += 10) {
    tracker.RecordRequest("s", 1, kStart + seconds(second));
    cr_expect(tracker.object_count("s") == kMaxObjects, "after %d s", second);
    cr_expect(tracker.UpstreamsPerObject("s", kUpstreams, 1) == 1, "after %d s", second);
    RecordAll(tracker, kMaxObjects, kStart + seconds(second));
  }
}

// Guards against a change of the objects in use that goes unnoticed while the table is full of the
// earlier ones.
Test(object_tracker, counts_new_objects_at_its_limit) {
  ObjectTracker tracker;
  RecordAll(tracker, kMaxObjects, kStart);
  const std::uint64_t last = kMaxObjects + 1'000;
  for (std::uint64_t object = kMaxObjects + 1; object <= last; ++object) {
    tracker.RecordRequest("s", object, kStart + seconds(29));
  }
  // All but the newest have expired.
  tracker.RecordRequest("s", last, kStart + seconds(31));
  cr_expect(tracker.object_count("s") == 1'000);
}

// Guards against memory that grows with each object that callers name.
Test(object_tracker, bounds_the_objects_of_a_service) {
  ObjectTracker tracker;
  RecordAll(tracker, 3 * kMaxObjects, kStart);
  cr_expect(tracker.object_count("s") == kMaxObjects);
}

// Guards against entries that each have to find out for themselves that an object needs more than
// one upstream. On the enlarged manta-alta a third of the requests ran cold for this reason.
Test(object_tracker, estimates_the_rate_of_an_object_over_all_entries) {
  ObjectTracker tracker;
  // 10 requests per second for 5 objects at this entry, which is one of 30 in 3 regions.
  for (int i = 0; i < 100; ++i) {
    tracker.RecordRequest("s", 1 + static_cast<std::uint64_t>(i) % 5,
                          kStart + milliseconds(100 * i));
  }
  const double rate = tracker.RatePerObject("s", 30, 3);
  cr_expect(rate > 18 && rate < 22);
  cr_expect(tracker.RatePerObject("other", 30, 3) == 0);
}
