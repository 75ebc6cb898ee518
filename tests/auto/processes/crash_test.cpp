#include <criterion/criterion.h>

#include <string>

#include "harness/cluster.h"
#include "harness/expect.h"

using wagtailpick::processes::Answer;
using wagtailpick::processes::CallerRequest;
using wagtailpick::processes::Cluster;
using wagtailpick::processes::Expect;
using wagtailpick::processes::RunTest;
using wagtailpick::processes::WaitUntil;

namespace {

constexpr int kCrashExitCode = 86;
constexpr std::size_t kEntries = 3;

// Restarts the crashed upstreams at their previous addresses and returns their number.
std::size_t RestartCrashed(Cluster& cluster) {
  std::size_t crashed = 0;
  for (auto& upstream : cluster.upstreams()) {
    const auto code = upstream.process->TryReap();
    if (!code) continue;
    Expect(*code == kCrashExitCode, "an upstream ended with exit code " + std::to_string(*code));
    ++crashed;
    cluster.Start(upstream);
  }
  return crashed;
}

Answer SendCrashingRequest(const Cluster& cluster, const std::string& entry, std::size_t attempt) {
  CallerRequest request;
  request.method = "POST";
  request.address = entry;
  request.target = "/s/payment/poison";
  // A new key each time, so that the request can be recognised only by its fingerprint.
  request.headers = {{"X-Standin", "crash"},
                     {"Idempotency-Key", "poison-" + std::to_string(attempt)}};
  request.body = "poison";
  return cluster.http().Send(request);
}

}  // namespace

// Guards against a request that crashes one upstream after another while its caller retries it at
// every entry, and against a block that also refuses other requests.
Test(crash, request_crashes_at_most_two_upstreams) {
  RunTest([] {
    constexpr std::size_t kRefusalsInARow = 9;
    constexpr std::size_t kMaxAttempts = 200;
    Cluster cluster;
    for (const char* place : {"mvd-1", "mvd-1", "mvd-1", "pde-1"}) {
      cluster.AddUpstream("payment", place);
    }
    cluster.WaitUntilServed("payment");
    std::size_t crashes = 0;
    std::size_t refusals = 0;
    std::string history;
    for (std::size_t attempt = 0; refusals < kRefusalsInARow; ++attempt) {
      Expect(attempt < kMaxAttempts, "not blocked: " + history);
      const auto& entry = cluster.entry(attempt % kEntries).http_address;
      const Answer answer = SendCrashingRequest(cluster, entry, attempt);
      history += " [" + answer.Text() + "]";
      Expect(answer.whole && answer.verdict != "ran", history);
      if (answer.reason == "connection_lost") {
        std::size_t found = 0;
        WaitUntil("the crashed upstream ends", [&] {
          found += RestartCrashed(cluster);
          return found > 0;
        });
        crashes += found;
        Expect(crashes <= 2, history);
        cluster.WaitUntilServed("payment");
      }
      const bool is_blocked = answer.reason == "blocked_request";
      Expect(!is_blocked || (answer.status == 422 && answer.verdict == "may_have_run"), history);
      refusals = is_blocked ? refusals + 1 : 0;
    }
    crashes += RestartCrashed(cluster);
    Expect(crashes == 2, std::to_string(crashes) + " upstreams crashed:" + history);
    cluster.WaitUntilServed("payment");
    std::size_t blocks = 0;
    for (std::size_t i = 0; i < kEntries; ++i) {
      blocks += cluster.CountEvents(cluster.entry(i), "request_blocked");
    }
    Expect(blocks > 0, "no request_blocked in the timeline");
  });
}
