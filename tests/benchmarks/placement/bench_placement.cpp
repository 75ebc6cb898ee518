#include <docopt/docopt.h>
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "placement/chooser.h"

// Measures the time of one choice among many upstreams, and what the records of requests cost.

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using base::MonotonicTime;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kUsage = R"(bench_placement: cost of choices among 10,000 upstreams.

Usage:
  bench_placement
  bench_placement --help
)";

constexpr std::size_t kUpstreams = 10'000;
constexpr std::size_t kEntries = 100;
constexpr int kChoices = 200;
constexpr MonotonicTime kStart{seconds(1'000)};
constexpr double kMegabyte = 1'000'000;

double AllocatedMegabytes() { return static_cast<double>(::mallinfo2().uordblks) / kMegabyte; }

/// Returns the microseconds that one of `count` calls of `work` takes on average.
double MicrosPerCall(int count, const std::function<void(int)>& work) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < count; ++i) work(i);
  const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
  return took.count() / count;
}

/// One of many entries, and the upstreams of one service in its data centre.
class World {
 public:
  explicit World(base::Duration cold_left)
      : chooser_(placement::NetworkDistance("a1", {{"a1", "a"}}),
                 placement::ColdRateLimiter("e0", {1.5, 5})) {
    std::vector<std::string> entries;
    for (std::size_t i = 0; i < kEntries; ++i) entries.push_back("e" + std::to_string(i));
    chooser_.SetEntries(entries);
    catalog::Route route;
    route.name = "r";
    route.objective = milliseconds(300);
    route.timeout = seconds(2);
    route.targets = {{"s", 1}};
    route.sticky = true;
    catalog::Service service;
    service.name = "s";
    service.cold_rate = 2.6;
    catalog_ = catalog::Catalog(1, {route}, {service}, {});
    for (std::size_t i = 0; i < kUpstreams; ++i) Announce(i, cold_left);
  }

  placement::PlacementRequest MakeRequest(std::uint64_t object) const {
    placement::PlacementRequest request;
    request.route = &catalog_.routes().front();
    request.service = "s";
    request.object = object;
    request.time_left = seconds(2);
    return request;
  }

  placement::Choice Choose(std::uint64_t object) {
    return chooser_.Choose(MakeRequest(object), {&table_, &catalog_, &evacuated_, nullptr, nullptr},
                           kStart);
  }

  /// Records a request for `object` that the upstream `index` has served.
  void Serve(std::size_t index, std::uint64_t object, MonotonicTime now) {
    const auto request = MakeRequest(object);
    placement::Choice choice;
    choice.upstream = "i-" + std::to_string(index);
    choice.data_centre = "a1";
    chooser_.RecordRequest(request, now);
    const auto attempt_id = chooser_.RecordAttemptStart(choice, now);
    chooser_.RecordAttemptEnd(attempt_id, choice, request, placement::Outcome::kServed,
                              milliseconds(100), now);
  }

 private:
  void Announce(std::size_t index, base::Duration cold_left) {
    upstreams::UpstreamReport report;
    report.id = "i-" + std::to_string(index);
    report.sequence = 1;
    report.service = "s";
    report.address = "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) +
                     ":" + std::to_string(1'000);
    report.data_centre = "a1";
    report.slots = 2;
    report.cold_left = cold_left;
    report.state = upstreams::State::kReady;
    table_.Apply(report, {}, kStart);
  }

  upstreams::UpstreamTable table_;
  catalog::Catalog catalog_;
  std::set<std::string> evacuated_;
  placement::Chooser chooser_;
};

void MeasureChoices(const char* name, base::Duration cold_left, bool sticky) {
  World world(cold_left);
  const double before = AllocatedMegabytes();
  // The first choice makes the records of all upstreams.
  world.Choose(1);
  const double records = AllocatedMegabytes() - before;
  const auto micros = MicrosPerCall(
      kChoices, [&](int i) { world.Choose(sticky ? static_cast<std::uint64_t>(i) + 1 : 0); });
  std::printf("one choice, %s: %.0f us, %.1f MB of records\n", name, micros, records);
}

/// Each request is for an object of its own, as the requests of a crawler are.
void MeasureRecords(std::size_t upstreams, int requests_per_second, int seconds_of_load) {
  World world({});
  for (std::size_t i = 0; i < upstreams; ++i) world.Serve(i, 0, kStart);
  const double before = AllocatedMegabytes();
  const auto interval = microseconds(seconds(1)) / requests_per_second;
  const auto micros = MicrosPerCall(requests_per_second * seconds_of_load, [&](int i) {
    world.Serve(static_cast<std::size_t>(i) % upstreams, static_cast<std::uint64_t>(i) + 1,
                kStart + i * interval);
  });
  std::printf("%d s of %d requests per second to %zu upstreams: %.2f us for a request, %.1f MB\n",
              seconds_of_load, requests_per_second, upstreams, micros,
              AllocatedMegabytes() - before);
}

}  // namespace

int main(int argc, char** argv) {
  docopt::docopt(kUsage, {argv + 1, argv + argc}, true, "bench_placement");
  MeasureChoices("any object", {}, false);
  MeasureChoices("sticky", {}, true);
  MeasureChoices("all upstreams cold", seconds(60), false);
  MeasureRecords(kUpstreams, 2'000, 600);
  MeasureRecords(1, 500, 60);
  return 0;
}
