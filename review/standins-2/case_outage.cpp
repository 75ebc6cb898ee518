// Each control machine is replaced by another one, and the settings files name the new machines as
// seeds; the entry runs on and gets no signal. Then all control machines are without power for 62 s
// and come back with their disks. With TROUBLE=0 they keep running for that time.

#include <iostream>
#include <string>
#include <vector>

#include "parts.h"

namespace review {
namespace {

constexpr long kSyncMillis = 4'500;
constexpr long kOutageMillis = 62'000;
constexpr long kRecoveryMillis = 15'000;
constexpr long kApplyMillis = 2'500;
constexpr int kLooks = 10;

/// Replaces control machine `old` by `fresh`: the old one ends for good, an empty one with another
/// address starts a second later.
void Replace(Deployment& deployment, Record& record, std::vector<int>& live, int old, int fresh) {
  record.Write("control machine " + std::to_string(old) + " is replaced by " +
               std::to_string(fresh));
  std::erase(live, old);
  deployment.Kill(Deployment::ControlName(old));
  SleepMillis(1'000);
  live.push_back(fresh);
  for (const int control : live) deployment.WriteControl(control, live, false);
  deployment.WriteEntry(0, live);
  deployment.StartControl(fresh);
  SleepMillis(kSyncMillis);
}

void StopAll(Deployment& deployment, Record& record, const std::vector<int>& live) {
  record.Write("all control machines lose power");
  for (const int control : live) deployment.Kill(Deployment::ControlName(control));
  SleepMillis(kOutageMillis);
  for (const int control : live) deployment.StartControl(control);
  record.Write("all control machines are back, with their disks");
}

/// Asks the entry for a route that only the new config has and for one that it has dropped. Returns
/// how many requests were handled as only the older config allows.
int Look(Deployment& deployment, Record& record) {
  int stale = 0;
  for (int i = 0; i < kLooks; ++i) {
    const auto number = std::to_string(i);
    const auto added = SendRequest(deployment, 0, "GET", "/added/x", "added-" + number, 2'000);
    const auto dropped =
        SendRequest(deployment, 0, "GET", "/dropped/x", "dropped-" + number, 2'000);
    if (added.status() == 404) ++stale;
    if (dropped.status() == 200) ++stale;
    record.Write("the added route is answered " + std::to_string(added.status()) +
                 ", the dropped one " + std::to_string(dropped.status()));
    SleepMillis(200);
  }
  return stale;
}

/// The route `/kept/` is in all configs, `/dropped/` in the first two, `/added/` in the last.
std::string Config(int version) {
  std::vector<RoutePart> routes{{"kept", "/kept/", "safe", {{"kitchen", 1}}}};
  if (version < 3) {
    routes.push_back({"dropped", "/dropped/", "safe", {{"kitchen", 1}}});
  } else {
    routes.push_back({"added", "/added/", "safe", {{"kitchen", 1}}});
  }
  return ConfigOf(version, routes);
}

bool Put(Deployment& deployment, Record& record, const std::vector<int>& live, int version) {
  const auto answer =
      CallControl(deployment, live, "POST", "/-/config/put", Config(version), 8'000);
  record.Write("config " + std::to_string(version) + " is answered " +
               std::to_string(answer.status()));
  return answer.status() == 200;
}

CaseEnd RunCase(const std::string& program, Record& record) {
  Deployment deployment(program, record, 6, 1);
  if (!StartAll(deployment, record, 3, 1, Config(1))) return CaseEnd::kNotRun;
  std::vector<int> live{0, 1, 2};
  ServerPart server(deployment, record, "i-1", "kitchen", 0, live);
  if (!server.listens() || !AwaitService(deployment, record, 0, "/kept/x")) {
    return CaseEnd::kNotRun;
  }
  SleepMillis(2'000);
  for (int old = 0; old < 3; ++old) {
    Replace(deployment, record, live, old, old + 3);
    server.set_controls(live);
  }
  if (!Put(deployment, record, live, 2)) return CaseEnd::kNotRun;
  if (WithTrouble()) {
    StopAll(deployment, record, live);
  } else {
    SleepMillis(kOutageMillis);
  }
  SleepMillis(kRecoveryMillis);
  if (!Put(deployment, record, live, 3)) return CaseEnd::kNotRun;
  SleepMillis(kApplyMillis + 500);
  if (!deployment.IsRunning(Deployment::EntryName(0))) return CaseEnd::kNotRun;
  record.Write(std::string("the entry says that it is ") +
               (deployment.IsReady(0) ? "ready" : "not ready"));
  const int stale = Look(deployment, record);
  record.Write("requests handled as only an older config allows: " + std::to_string(stale) +
               " (CONFIG allows none)");
  return stale > 0 ? CaseEnd::kBroken : CaseEnd::kHeld;
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
