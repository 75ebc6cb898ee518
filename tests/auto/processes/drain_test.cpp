#include <criterion/criterion.h>

#include <csignal>
#include <string>
#include <vector>

#include "harness/charge_load.h"
#include "harness/cluster.h"
#include "harness/expect.h"

using wagtailpick::processes::Answer;
using wagtailpick::processes::ChargeLoad;
using wagtailpick::processes::Cluster;
using wagtailpick::processes::Expect;
using wagtailpick::processes::RunTest;
using wagtailpick::processes::Upstream;
using wagtailpick::processes::WaitUntil;

namespace {

constexpr std::size_t kEntries = 3;
constexpr unsigned kWorkMs = 100;
constexpr std::size_t kSomeCharges = 30;
// Long enough that no request reaches its deadline on a busy machine.
constexpr unsigned kLongDeadlineMs = 10'000;
// Promise P6: an upstream receives no new requests later than this after it announced its stop.
constexpr int kMaxStartDelayMs = 2'000;
// How long the test watches for requests that arrive too late.
constexpr int kObservationMs = 5'000;

void UseLongDeadlines(Cluster& cluster) {
  const auto file = cluster.tool().Sign({2, 0, kLongDeadlineMs});
  const auto outcome = cluster.SubmitUntilKnown(file, cluster.control_list());
  Expect(outcome == "accepted" || outcome == "already_accepted", "version 2: " + outcome);
  cluster.WaitInForce(2);
}

bool IsIdleInTimeline(Cluster& cluster, const Upstream& upstream) {
  for (std::size_t i = 0; i < kEntries; ++i) {
    for (const auto& event : cluster.Events(cluster.entry(i))) {
      if (event.at("event") == "upstream_idle" && event.at("subject") == upstream.address) {
        return true;
      }
    }
  }
  return false;
}

void CheckReceivesNoNewRequests(Cluster& cluster, const Upstream& upstream,
                                const std::string& state) {
  WaitUntil("the upstream works", [&] { return cluster.Stats(upstream).at("running") > 0; });
  cluster.http().Get(upstream.address, "/state/" + state);
  nlohmann::json stats;
  WaitUntil("the upstream has been " + state + " for a while", [&] {
    stats = cluster.Stats(upstream);
    return stats.at("state") == state && stats.at("state_age_ms") > kObservationMs;
  });
  Expect(stats.at("latest_start_ms") <= kMaxStartDelayMs,
         state + " but received a request: " + stats.dump());
  Expect(stats.at("running") == 0, state + " but still running requests: " + stats.dump());
  WaitUntil("the timeline shows that the upstream is idle",
            [&] { return IsIdleInTimeline(cluster, upstream); });
}

}  // namespace

// Guards against new requests for an upstream that has announced that it is draining or leaving,
// against requests cut off by the drain, and against a drain whose end the timeline does not show.
Test(drain, stopping_upstream_receives_no_new_requests) {
  RunTest([] {
    Cluster cluster;
    UseLongDeadlines(cluster);
    for (int i = 0; i < 3; ++i) cluster.AddUpstream("payment", "mvd-1", kWorkMs);
    cluster.WaitUntilServed("payment");
    ChargeLoad load(cluster, "charge");
    load.WaitForMore(kSomeCharges);
    CheckReceivesNoNewRequests(cluster, cluster.upstreams()[0], "draining");
    CheckReceivesNoNewRequests(cluster, cluster.upstreams()[1], "leaving");
    load.WaitForMore(kSomeCharges);
    load.Stop();
    load.Check();
    load.CheckNoneCutOff();
  });
}

// Guards against a planned stop of an entry that cuts off requests, whether received from callers
// or forwarded by other entries, and against lookups that still return the entry.
Test(drain, terminated_entry_finishes_its_requests) {
  RunTest([] {
    constexpr unsigned kSlowMs = 1'500;
    Cluster cluster;
    UseLongDeadlines(cluster);
    cluster.AddUpstream("listings", "mvd-1", kSlowMs);
    cluster.AddUpstream("payment", "mvd-1", kWorkMs);
    cluster.WaitUntilServed("payment");
    cluster.WaitUntilServed("listings");
    const auto leaving = cluster.entry(0).http_address;
    ChargeLoad load(cluster, "charge", {1, 2});
    load.WaitForMore(kSomeCharges);
    wagtailpick::processes::CallerRequest slow;
    slow.address = leaving;
    slow.target = "/s/listings/slow";
    auto running = cluster.http().Start(slow);
    WaitUntil("the slow request runs",
              [&] { return cluster.Stats(cluster.upstreams()[0]).at("running") > 0; });
    cluster.entry(0).process->Signal(SIGTERM);
    const Answer answer = running.get();
    Expect(answer.status == 200 && answer.body == "GET /slow ", answer.Text());
    for (std::size_t i = 1; i < kEntries; ++i) {
      WaitUntil("lookups no longer name the entry", [&] {
        const auto lookup = cluster.http().Get(cluster.entry(i).http_address,
                                               "/v1/lookup?service=payment&address=127.0.0.1");
        return lookup.status == 200 && lookup.body.find(leaving) == std::string::npos;
      });
    }
    const int code = cluster.entry(0).process->Wait();
    Expect(code == 0, "exit code " + std::to_string(code));
    load.WaitForMore(kSomeCharges);
    load.Stop();
    load.Check();
    load.CheckNoneCutOff();
  });
}
