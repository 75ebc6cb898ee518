#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../standins/callers.h"
#include "../standins/deployment.h"
#include "../standins/upstream.h"

// Another writer sends pings whose bytes can't be read, one each heartbeat, as a server would: to
// the next node if one isn't acknowledged. No other disruption.

namespace {

using namespace wagtailpick::review;  // NOLINT(google-build-using-namespace)

constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr double kHeartbeatS = 1.5;
constexpr double kContactS = 3.0;
constexpr double kPingsForS = 30;
/// The operator reads for contactMs at least.
constexpr double kFinalReadsForS = 10;
constexpr double kCallTimeoutS = 1.0;
constexpr double kStartTimeoutS = 20;
/// How often a process may end by itself on half of the core before the rule is broken.
constexpr int kOwnEnds = 3;
constexpr int kUpstreams = 2;

/// A ping of another writer: JSON whose text is in another character encoding (ISO 8859-1).
constexpr const char* kUnreadablePing =
    "{\"addr\":\"127.0.0.1:9\",\"info\":{\"service\":\"caf\xe9\",\"version\":\"v1\","
    "\"zone\":\"mvd-a\",\"slots\":3},\"status\":{\"state\":\"ready\",\"seq\":1,\"coldLeftMs\":0}}";
/// The same ping with fields missing, which the pages name as well: the run without trouble.
constexpr const char* kPingWithoutFields = R"({"addr":"127.0.0.1:9","status":{"state":"ready"}})";

/// Sends the ping to one node after the other until one acknowledges it.
void SendForeignPing(const std::vector<Address>& controls, std::size_t& next,
                     const std::string& body, Record& record) {
  for (std::size_t i = 0; i < controls.size(); ++i) {
    const auto& to = controls[next];
    const auto result =
        Call(to, "POST", "/-/instances/i-other/heartbeat",
             {{"Host", "control"}, {"Content-Type", "application/json"}}, body, kCallTimeoutS);
    const std::string what = result.status != 0        ? std::to_string(result.status)
                             : !result.connected       ? "no connection"
                             : result.connection_ended ? "the connection ended without an answer"
                                                       : "no answer in time";
    record.Write("other writer: ping to " + to.ToString() + " -> " + what);
    if (result.status >= 200 && result.status < 300) return;
    next = (next + 1) % controls.size();
  }
}

/// Sends one ping each heartbeat.
void SendForeignPings(const std::vector<Address>& controls, const std::string& body,
                      const std::atomic<bool>& stop, Record& record) {
  std::size_t next = 0;
  while (!stop) {
    const double due = record.Now() + kHeartbeatS;
    SendForeignPing(controls, next, body, record);
    Sleep(std::max(due - record.Now(), 0.0));
  }
}

/// Reads the config again and again at the end of the day. Returns whether it came.
bool ReadsBack(const std::vector<Address>& controls, const std::string& config, Record& record) {
  std::string read;
  const int status =
      SendOrder(controls, "GET", "/-/config/get", "", kFinalReadsForS, record, &read);
  if (status == 200 && read != config) record.Write("the config read back is another one");
  return status == 200 && read == config;
}

/// Whether the processes of half of the core have ended by themselves three times.
bool IsFault(Deployment& deployment, Record& record) {
  std::size_t ended = 0;
  for (const auto& name : deployment.controls()) {
    const int ends = deployment.OwnEnds(name);
    record.Write("process " + name + " has ended by itself " + std::to_string(ends) + " times");
    if (ends >= kOwnEnds) ++ended;
  }
  return ended * 2 >= deployment.controls().size();
}

int Run(const std::string& program, const std::string& folder, const std::string& record_file) {
  Record record(record_file);
  Deployment deployment(program, folder, {}, record);
  deployment.Start();
  std::vector<Address> controls;
  for (std::size_t i = 0; i < deployment.controls().size(); ++i) {
    controls.push_back(deployment.Control(i));
  }
  const RouteOptions route{"r-browse", "/browse/", "safe", "cartelera", 3'000, 400, 2};
  const int put =
      SendOrder(controls, "POST", "/-/config/put", ConfigText(1, {route}), kStartTimeoutS, record);
  std::vector<std::unique_ptr<Upstream>> upstreams;
  for (int i = 0; i < kUpstreams; ++i) {
    upstreams.push_back(std::make_unique<Upstream>(
        Upstream::Options{"i-" + std::to_string(i), route.service, deployment.ZoneOfEntry(0),
                          deployment.Upstream(i), controls},
        record));
    if (!upstreams.back()->Start()) return kCouldNotRun;
  }
  if (put != 200 || !WaitUntilReady(deployment.Readiness(0), kStartTimeoutS)) return kCouldNotRun;
  // No disruption yet: the core has been calm for longer than contactMs.
  Sleep(kContactS + 1);
  std::string config;
  SendOrder(controls, "GET", "/-/config/get", "", kContactS, record, &config);
  if (config != ConfigText(1, {route}) || !upstreams.front()->announced()) return kCouldNotRun;

  const bool trouble = HasTrouble();
  const std::string ping = trouble ? kUnreadablePing : kPingWithoutFields;
  record.Write(trouble ? "pings that can't be read begin" : "pings without fields begin");
  std::atomic<bool> stop = false;
  std::thread writer([&] { SendForeignPings(controls, ping, stop, record); });
  Sleep(kPingsForS);
  record.Write("the day ends: the operator reads the config");
  const bool came = ReadsBack(controls, config, record);
  stop = true;
  writer.join();
  const bool fault = IsFault(deployment, record);
  if (!came) record.Write("RULE BROKEN: CONFIG, the config read back at the end doesn't come");
  if (fault) record.Write("RULE BROKEN: Fault, processes of half of the core ended three times");
  if (came && !fault) record.Write("the rule held");
  return came && !fault ? 0 : kRuleBroken;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: unreadable_ping PROGRAM FOLDER RECORD\n";
    return kCouldNotRun;
  }
  return Run(argv[1], argv[2], argv[3]);
}
