#include <criterion/criterion.h>
#include <unistd.h>

#include <cstdlib>
#include <random>
#include <thread>

#include "harness/expect.h"
#include "harness/replica_probe.h"
#include "platform/standin_wire.h"
#include "soak/deployment.h"
#include "soak/http_call.h"

using wagtailpick::processes::Expect;
using wagtailpick::processes::RunTest;
using wagtailpick::processes::UpstreamsKnownAt;

namespace base = wagtailpick::base;
namespace platform = wagtailpick::platform;
namespace soak = wagtailpick::soak;

namespace {

constexpr std::size_t kReplicas = 3;
constexpr std::uint16_t kClusterPort = 17'720;
constexpr int kUpstreams = 60;
/// Upstreams announce themselves while the links between the replicas open.
constexpr std::chrono::milliseconds kAnnounceWithin{1'200};
constexpr std::chrono::milliseconds kCallTimeout{500};
constexpr std::chrono::seconds kSpreadTimeout{4};
constexpr std::chrono::milliseconds kProbeInterval{200};
constexpr int kStarts = 2;
/// Number of starts for a run by hand.
constexpr const char* kStartsVariable = "WAGTAILPICK_GROUP_STARTS";

/// Networks of different test processes must differ, as they may run at the same time.
int NetworkOfTest() { return 192 + getpid() % 60; }

wagtailpick::upstreams::UpstreamReport Report(int number) {
  wagtailpick::upstreams::UpstreamReport report;
  report.id = "i-" + std::to_string(number);
  report.started_unix_ms = 1'000 + number;
  report.sequence = 1;
  report.service = "menu";
  report.address = "10.128.0." + std::to_string(number + 1) + ":9080";
  report.data_centre = "dc-0";
  report.slots = 3;
  return report;
}

/// Announces an upstream to one replica, which may not listen yet, until it accepts.
void AnnounceOnce(const soak::Deployment& group, int number) {
  const auto replica = static_cast<std::size_t>(number) % kReplicas;
  const auto request = platform::Heartbeat(Report(number));
  wagtailpick::processes::WaitUntil("upstream " + std::to_string(number) + " is accepted", [&] {
    const auto answer = soak::Call(group.OrdersAddress(replica), request, kCallTimeout);
    return answer && answer->status == 200;
  });
}

/// Number of upstreams that `replica` does not know in the end.
std::size_t CountUnknown(const soak::Deployment& group, std::size_t replica) {
  auto endpoint = base::ParseEndpoint(group.OrdersAddress(replica)).value();
  endpoint.port = kClusterPort;
  std::size_t known = 0;
  const auto end = base::MonotonicNow() + kSpreadTimeout;
  while (known < kUpstreams && base::MonotonicNow() < end) {
    std::this_thread::sleep_for(kProbeInterval);
    const auto ids = UpstreamsKnownAt(endpoint);
    known = ids ? ids->size() : 0;
  }
  return kUpstreams - known;
}

/// Starts a new group while upstreams announce themselves. Returns the number of upstreams that a
/// replica does not know in the end, summed over the replicas.
std::size_t StartGroup(std::mt19937& random) {
  soak::Deployment group(WAGTAILPICK_EDGE, NetworkOfTest(), kReplicas, 0, std::chrono::seconds(1));
  group.StartAll();
  for (int i = 0; i < kUpstreams; ++i) {
    AnnounceOnce(group, i);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(random() % (2 * kAnnounceWithin.count() / kUpstreams)));
  }
  std::size_t unknown = 0;
  for (std::size_t i = 0; i < kReplicas; ++i) unknown += CountUnknown(group, i);
  return unknown;
}

}  // namespace

// Guards against an upstream that only some replicas know after the start of a group because it
// announced itself to one of them before all links between them were open.
Test(group_start, every_replica_learns_every_upstream) {
  RunTest([] {
    const char* starts_text = std::getenv(kStartsVariable);
    const int starts = starts_text == nullptr ? kStarts : std::atoi(starts_text);
    std::mt19937 random(1);
    int incomplete = 0;
    for (int i = 0; i < starts; ++i) incomplete += StartGroup(random) > 0 ? 1 : 0;
    Expect(incomplete == 0, "upstreams unknown to a replica after " + std::to_string(incomplete) +
                                " of " + std::to_string(starts) + " starts");
  });
}
