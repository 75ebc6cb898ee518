#include <criterion/criterion.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "harness/expect.h"
#include "platform/standin_wire.h"
#include "soak/deployment.h"
#include "soak/http_call.h"
#include "soak/promise_checker.h"
#include "soak/standin_service.h"
#include "soak/stop_checker.h"

// Upstreams that leave or back off by their answers only, in front of real processes under load.

using wagtailpick::processes::Expect;
using wagtailpick::processes::RunTest;
using wagtailpick::processes::WaitUntil;

namespace http = wagtailpick::http;
namespace platform = wagtailpick::platform;
namespace soak = wagtailpick::soak;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kReplicas = 3;
constexpr std::size_t kUpstreams = 8;
/// So few that each one gets requests.
constexpr std::size_t kFewUpstreams = 2;
constexpr std::size_t kMaxEntries = 3;
constexpr std::size_t kCallers = 6;
/// Upstreams that leave, and as many that back off, in a run of one seed.
constexpr std::size_t kChanging = 2;
constexpr std::chrono::seconds kGrace{3};
constexpr milliseconds kCallTimeout{2'000};
constexpr int kDeadlineMs = 1'800;
constexpr int kObjects = 20;
/// Changes come within this time.
constexpr int kChangesWithinMs = 800;
/// Longer than the drain bound (2.5 s) and a back-off (3 s) that start at the last change.
constexpr milliseconds kWatchTime{4'200};
/// Time in which the replicas learn from an entry that an upstream leaves.
constexpr milliseconds kSpreadTime{500};
/// Ends before an upstream that leaves is replaced, 6 s after it began to leave.
constexpr milliseconds kWatchTimeAfterStart{1'500};
constexpr int kMinServed = 100;
/// Callers pause for up to this time between requests, and not at all in bursts.
constexpr int kMaxPauseMs = 25;
constexpr int kFirstSeed = 1;
constexpr int kSeeds = 2;
/// Number of seeds for a run by hand.
constexpr const char* kSeedsVariable = "WAGTAILPICK_LEAVING_SEEDS";

/// Networks of different test processes must differ, as they may run at the same time.
int NetworkOfTest() { return 192 + getpid() % 60; }

std::string NameOfLeavingHeader() {
  http::Response answer;
  platform::AddLeavingHeader(answer);
  return answer.headers.back().name;
}

/// A deployment with upstreams, and callers that send requests until their end.
class Site {
 public:
  Site(std::uint64_t seed, std::size_t entries, std::size_t upstreams)
      : seed_(seed),
        entries_(entries),
        stops_(kGrace),
        group_(WAGTAILPICK_EDGE, NetworkOfTest(), kReplicas, entries, kGrace) {
    checker_.set_entries(entries);
    group_.StartAll();
    std::vector<std::string> replicas;
    for (std::size_t i = 0; i < kReplicas; ++i) replicas.push_back(group_.OrdersAddress(i));
    service_ = std::make_unique<soak::StandinService>(NetworkOfTest(), upstreams, replicas,
                                                      checker_, stops_, seed);
    const auto put = platform::PutConfig(platform::TwoRouteConfig(1, "s"));
    WaitUntil("a replica accepts the config", [&] {
      return std::any_of(replicas.begin(), replicas.end(), [&](const auto& address) {
        const auto answer = soak::Call(address, put, kCallTimeout);
        return answer && answer->status == 200;
      });
    });
    for (std::size_t i = 0; i < entries; ++i) WaitUntilServed(i);
  }

  ~Site() { StopCallers(); }
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  void WaitUntilServed(std::size_t entry) {
    std::mt19937 random(static_cast<unsigned>(seed_));
    WaitUntil("entry " + std::to_string(entry) + " serves",
              [&] { return CallOnce(entry, random) == 200; });
  }

  void StartCallers() {
    for (std::size_t i = 0; i < kCallers; ++i) {
      callers_.emplace_back([this, i] {
        std::mt19937 random(static_cast<unsigned>(seed_ * kCallers + i));
        while (!stopping_) {
          CallOnce(random() % entries_, random);
          const int pause_ms = burst_ ? 0 : static_cast<int>(random() % kMaxPauseMs);
          std::this_thread::sleep_for(milliseconds(pause_ms));
        }
      });
    }
  }

  void StopCallers() {
    stopping_ = true;
    for (auto& caller : callers_) caller.join();
    callers_.clear();
  }

  /// Makes callers send their requests without pauses, or with pauses again.
  void set_burst(bool burst) { burst_ = burst; }
  /// Number of answers that stated that their upstream leaves.
  int leaving_answers() const { return leaving_answers_; }
  int served() const { return served_; }
  soak::StandinService& service() { return *service_; }
  soak::Deployment& group() { return group_; }

  void ExpectNoViolations() const {
    std::string text;
    for (const auto& violation : checker_.violations()) text += violation + "; ";
    Expect(text.empty(), "seed " + std::to_string(seed_) + ": " + text);
  }

 private:
  /// Sends a request and returns the status of its answer, or 0.
  int CallOnce(std::size_t entry, std::mt19937& random) {
    const bool idempotent = random() % 2 == 0;
    const auto id = "q" + std::to_string(next_request_++);
    const auto request =
        platform::ClientRequest(idempotent ? "GET" : "POST", idempotent ? "/read/1" : "/charge/1",
                                id, kDeadlineMs, std::to_string(random() % kObjects));
    const auto answer = soak::Call(group_.CallersAddress(entry), request, kCallTimeout);
    const int status = answer ? answer->status : 0;
    const bool own_body = answer && answer->body == "answer to " + id;
    checker_.RecordAnswer(id, idempotent, status, own_body);
    if (status == 200) ++served_;
    if (answer && http::FindHeader(answer->headers, leaving_header_) != nullptr) {
      ++leaving_answers_;
    }
    return status;
  }

  const std::string leaving_header_ = NameOfLeavingHeader();
  std::uint64_t seed_;
  std::size_t entries_;
  soak::PromiseChecker checker_;
  soak::StopChecker stops_;
  soak::Deployment group_;
  std::unique_ptr<soak::StandinService> service_;
  std::atomic<int> next_request_ = 0;
  std::atomic<int> served_ = 0;
  std::atomic<int> leaving_answers_ = 0;
  std::atomic<bool> burst_ = false;
  std::atomic<bool> stopping_ = false;
  std::vector<std::thread> callers_;
};

/// Makes some upstreams leave and others back off, in an order and at times of the seed.
void RunSeed(std::uint64_t seed) {
  std::mt19937 random(static_cast<unsigned>(seed));
  Site site(seed, 1 + seed % kMaxEntries, kUpstreams);
  site.StartCallers();
  std::vector<std::size_t> order(kUpstreams);
  std::iota(order.begin(), order.end(), 0);
  std::shuffle(order.begin(), order.end(), random);
  for (std::size_t i = 0; i < 2 * kChanging; ++i) {
    site.set_burst(random() % 2 == 0);
    std::this_thread::sleep_for(milliseconds(random() % (kChangesWithinMs / kChanging)));
    if (i % 2 == 0) {
      site.service().LeaveWithoutAnnouncement(order[i]);
    } else {
      site.service().StartBackOff(order[i]);
    }
  }
  std::this_thread::sleep_for(kWatchTime);
  site.StopCallers();
  site.ExpectNoViolations();
  const auto name = "seed " + std::to_string(seed);
  Expect(site.leaving_answers() > 0, name + ": no answer stated that its upstream leaves");
  Expect(site.served() > 0, name + ": nothing was served");
}

}  // namespace

// Guards against requests to an upstream later than the drain bound after an answer stated that it
// leaves, and against more than two from an entry to one that backs off.
Test(leaving_upstream, gets_nothing_more_under_load) {
  RunTest([] {
    const char* seeds_text = std::getenv(kSeedsVariable);
    const int seeds = seeds_text == nullptr ? kSeeds : std::atoi(seeds_text);
    for (int seed = kFirstSeed; seed < kFirstSeed + seeds; ++seed) {
      RunSeed(static_cast<std::uint64_t>(seed));
    }
  });
}

// Guards against requests from an entry that has forgotten by its start that an upstream, whose
// announcements still state that it is ready, leaves.
Test(leaving_upstream, gets_nothing_from_an_entry_that_starts_again) {
  RunTest([] {
    Site site(kFirstSeed, 1, kFewUpstreams);
    site.set_burst(true);
    site.StartCallers();
    site.service().LeaveWithoutAnnouncement(0);
    WaitUntil("an answer states that the upstream leaves",
              [&] { return site.leaving_answers() > 0; });
    std::this_thread::sleep_for(kSpreadTime);
    site.group().Kill(kReplicas);
    const int before = site.leaving_answers();
    site.group().Start(kReplicas);
    const int served = site.served();
    WaitUntil("the entry serves again", [&] { return site.served() > served; });
    std::this_thread::sleep_for(kWatchTimeAfterStart);
    const int after = site.leaving_answers() - before;
    Expect(after == 0, std::to_string(after) + " requests to the leaving upstream");
    WaitUntil("enough requests are served after the start",
              [&] { return site.served() > served + kMinServed; });
    site.StopCallers();
  });
}
