// A config whose splits have large weights. With TROUBLE=0 the same splits have small ones.

#include <atomic>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "parts.h"

namespace review {
namespace {

constexpr int kTimeoutMs = 1'000;
/// The rule looks half a second after the route's timeout.
constexpr int kLookMs = kTimeoutMs + 500;
constexpr int kDeadlineMs = 4'000;
constexpr int kRequests = 24;
constexpr int kApplyMs = 2'500;
/// The rule counts from eight requests on.
constexpr int kMinLate = 8;

struct Timing {
  std::atomic<int> late_at_timeout = 0;
  std::atomic<int> late_at_look = 0;
};

std::vector<RoutePart> Routes(bool large) {
  const unsigned long unit = large ? 1'000'000'000UL : 10UL;
  std::vector<RoutePart> routes{{"plain", "/plain/", "safe", {{"kitchen", 1}}, kTimeoutMs}};
  for (const std::string name : {"east", "west", "south"}) {
    routes.push_back({name,
                      "/" + name + "/",
                      "safe",
                      {{"kitchen", 4 * unit}, {"bakery", 3 * unit}, {"cellar", 2 * unit}},
                      kTimeoutMs});
  }
  return routes;
}

void Ask(Deployment& deployment, Record& record, int number, Timing& timing) {
  const std::string path = number % 4 == 0   ? "/east/x"
                           : number % 4 == 1 ? "/west/x"
                           : number % 4 == 2 ? "/south/x"
                                             : "/plain/x";
  const auto id = "look-" + std::to_string(number);
  const auto sent_at = SteadyMillis();
  const auto answer = SendRequest(deployment, 0, "GET", path, id, kDeadlineMs);
  const auto took = SteadyMillis() - sent_at;
  const bool answered = answer.status() != 0;
  if (!answered || took > kTimeoutMs) ++timing.late_at_timeout;
  if (!answered || took > kLookMs) ++timing.late_at_look;
  record.Write("request " + id + " to " + path + ": " +
               (answered ? "status " + std::to_string(answer.status()) : "no answer") + " after " +
               std::to_string(took) + " ms");
}

CaseEnd RunCase(const std::string& program, Record& record) {
  Deployment deployment(program, record, 3, 1);
  if (!StartAll(deployment, record, 3, 1, ConfigOf(1, Routes(false)))) return CaseEnd::kNotRun;
  ServerPart kitchen(deployment, record, "i-1", "kitchen", 0, {0, 1, 2});
  ServerPart bakery(deployment, record, "i-2", "bakery", 1, {0, 1, 2});
  ServerPart cellar(deployment, record, "i-3", "cellar", 2, {0, 1, 2});
  for (const std::string path : {"/plain/x", "/east/x", "/west/x", "/south/x"}) {
    if (!AwaitService(deployment, record, 0, path)) return CaseEnd::kNotRun;
  }
  const auto config = ConfigOf(2, Routes(WithTrouble()));
  record.Write("the operator sends: " + config);
  const auto answer = CallControl(deployment, {0, 1, 2}, "POST", "/-/config/put", config, 10'000);
  record.Write("the config is answered " + std::to_string(answer.status()));
  if (answer.status() == 400) return CaseEnd::kHeld;
  if (answer.status() != 200) return CaseEnd::kNotRun;
  SleepMillis(kApplyMs);
  Timing timing;
  std::vector<std::thread> clients;
  for (int i = 0; i < kRequests; ++i) {
    clients.emplace_back([&, i] { Ask(deployment, record, i, timing); });
    SleepMillis(20);
  }
  for (auto& client : clients) client.join();
  record.Write("unanswered at the route's timeoutMs: " + std::to_string(timing.late_at_timeout) +
               " of " + std::to_string(kRequests) +
               "; half a second later: " + std::to_string(timing.late_at_look));
  const bool broken =
      timing.late_at_look >= kMinLate && timing.late_at_look * 2 > timing.late_at_timeout;
  return broken ? CaseEnd::kBroken : CaseEnd::kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: " << argv[0] << " DAEMON RECORD\n";
    return static_cast<int>(review::CaseEnd::kNotRun);
  }
  review::Record record(argv[2]);
  return static_cast<int>(review::RunCase(argv[1], record));
}
