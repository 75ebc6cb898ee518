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

// Starts upstreams that have ended again, under their addresses, and returns how many there were.
std::size_t RestartEnded(Cluster& cluster) {
  std::size_t ended = 0;
  for (auto& upstream : cluster.upstreams()) {
    const auto code = upstream.process->TryReap();
    if (!code) continue;
    Expect(*code == kCrashExitCode, "an upstream ended with " + std::to_string(*code));
    ++ended;
    cluster.Start(upstream);
  }
  return ended;
}

Answer SendCrash(const Cluster& cluster, const std::string& entry, std::size_t attempt) {
  CallerRequest request;
  request.method = "POST";
  request.address = entry;
  request.target = "/s/payment/poison";
  // A new key each time: the system has to know the request by what it asks for.
  request.headers = {{"X-Standin", "crash"},
                     {"Idempotency-Key", "poison-" + std::to_string(attempt)}};
  request.body = "poison";
  return cluster.http().Send(request);
}

}  // namespace

// Guards against a request that takes down one upstream after the other when its caller retries it
// at every entry, and against a block that hits other requests too.
Test(crash, request_takes_down_at_most_two_upstreams) {
  RunTest([] {
    constexpr std::size_t kRefusalsInARow = 9;
    constexpr std::size_t kMaxAttempts = 200;
    Cluster cluster;
    for (const char* place : {"mvd-1", "mvd-1", "mvd-1", "pde-1"}) {
      cluster.AddUpstream("payment", place);
    }
    cluster.WaitUntilServed("payment");
    std::size_t deaths = 0;
    std::size_t refusals = 0;
    std::string history;
    for (std::size_t attempt = 0; refusals < kRefusalsInARow; ++attempt) {
      Expect(attempt < kMaxAttempts, "not blocked: " + history);
      const auto& entry = cluster.entry(attempt % kEntries).http_address;
      const Answer answer = SendCrash(cluster, entry, attempt);
      history += " [" + answer.Text() + "]";
      Expect(answer.whole && answer.verdict != "ran", history);
      if (answer.reason == "connection_lost") {
        std::size_t found = 0;
        WaitUntil("the crashed upstream ends", [&] {
          found += RestartEnded(cluster);
          return found > 0;
        });
        deaths += found;
        Expect(deaths <= 2, history);
        cluster.WaitUntilServed("payment");
      }
      const bool is_blocked = answer.reason == "blocked_request";
      Expect(!is_blocked || (answer.status == 422 && answer.verdict == "may_have_run"), history);
      refusals = is_blocked ? refusals + 1 : 0;
    }
    deaths += RestartEnded(cluster);
    Expect(deaths == 2, std::to_string(deaths) + " upstreams died:" + history);
    cluster.WaitUntilServed("payment");
    std::size_t blocks = 0;
    for (std::size_t i = 0; i < kEntries; ++i) {
      blocks += cluster.CountEvents(cluster.entry(i), "request_blocked");
    }
    Expect(blocks > 0, "no request_blocked in the timeline");
  });
}
