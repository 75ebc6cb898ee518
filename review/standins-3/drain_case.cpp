// The stand-in servers, clients and provider of the case about a server that
// starts again under its id after the time of day of its machine has stepped
// back.
//
//   drain_case run PROGRAM FOLDER RECORD TROUBLE
//   drain_case server ADDRESS ID ZONE CLOCK_OFFSET_MS COLD_MS CONTROL RECORD

#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "site.h"

namespace wagtailpick::review {
namespace {

constexpr int kServers = 7;
constexpr int kEntries = 3;
/// Times of the site crust-preorder.
constexpr std::int64_t kContactMs = 4'000;
constexpr std::int64_t kDrainMs = 2'500;
constexpr std::int64_t kHeartbeatMs = 1'500;
/// A server that starts during traffic is cold for `coldStartS`.
constexpr std::int64_t kColdStartMs = 3'000;
/// Largest step of the time of day in the site file, and how long it lasts
/// there.
constexpr std::int64_t kClockStepMs = 2'400;
constexpr std::int64_t kClockStepForMs = 6'000;
/// Times since the step at which the server starts, crashes, is back and
/// reports that it drains.
constexpr std::int64_t kStartAtMs = 5'600;
constexpr std::int64_t kCrashAtMs = 6'100;
constexpr std::int64_t kBackAtMs = 7'500;
constexpr std::int64_t kDrainAtMs = 8'400;
constexpr std::int64_t kEndAtMs = 18'000;
static_assert(kStartAtMs < kClockStepForMs && kBackAtMs > kClockStepForMs);
constexpr std::int64_t kWorkMs = 30;
constexpr int kTimeBudgetMs = 2'000;
constexpr int kClients = 6;
constexpr std::int64_t kClientPauseMs = 40;

volatile std::sig_atomic_t is_draining = 0;

struct ServerOptions {
  std::string address;
  std::string id;
  std::string zone;
  std::int64_t clock_offset_ms = 0;
  /// How long the server is cold from its start on.
  std::int64_t cold_ms = 0;
  std::vector<std::string> control;
  std::string record;
};

void ServeConnection(int socket, const ServerOptions& options, Record& record) {
  std::string rest;
  while (auto request = ReadMessage(socket, rest)) {
    const auto request_id = HeaderOf(*request, "Request-Id");
    const std::string echo = "Request-Id: " + request_id + "\r\n";
    const auto expected = HeaderOf(*request, "Expect-Instance");
    if (!expected.empty() && expected != options.id) {
      WriteAll(socket, "HTTP/1.1 421 Misdirected Request\r\n" + echo +
                           "Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    record.Write("server " + options.id + " runs " + request_id);
    SleepMs(kWorkMs);
    const std::string body = "fillings for " + request_id;
    const std::string leaving = is_draining != 0 ? "Server-Leaving: 1\r\n" : "";
    WriteAll(socket, "HTTP/1.1 200 OK\r\n" + echo + "Server-Seal: " + options.id + "." +
                         request_id + "\r\nServer-Load: 1,0,4\r\n" + leaving +
                         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  close(socket);
}

/// Announces the server, and from SIGUSR1 on that it drains.
void Announce(const ServerOptions& options, std::int64_t born, Record& record) {
  bool reported_drain = false;
  const auto cold_until = NowMs() + options.cold_ms;
  for (std::int64_t sequence = 1;; ++sequence) {
    const bool drains = is_draining != 0;
    const bool acknowledged = CallControl(
        options.control, "/-/instances/" + options.id + "/heartbeat",
        HeartbeatBody(options.address, options.zone, born, sequence, drains ? "draining" : "ready",
                      std::max<std::int64_t>(cold_until - NowMs(), 0)));
    if (drains && acknowledged && !reported_drain) {
      reported_drain = true;
      record.Write("server " + options.id + " has the ack of its drain");
    }
    for (int i = 0; i < kHeartbeatMs / 10 && (drains || is_draining == 0); ++i) SleepMs(10);
  }
}

int RunServer(const ServerOptions& options) {
  std::srand(static_cast<unsigned>(getpid()));
  std::signal(SIGUSR1, [](int) { is_draining = 1; });
  Record record(options.record);
  const int listener = Listen(options.address);
  if (listener < 0) return 2;
  const auto born = UnixMs() + options.clock_offset_ms;
  record.Write("server " + options.id + " starts, born " + std::to_string(born));
  std::thread(Announce, std::cref(options), born, std::ref(record)).detach();
  while (true) {
    const int socket = accept(listener, nullptr, nullptr);
    if (socket < 0) continue;
    std::thread(ServeConnection, socket, std::cref(options), std::ref(record)).detach();
  }
}

void RunClient(const Deployment& site, Record& record, int number, const std::atomic<bool>& stop,
               std::atomic<int>& served) {
  std::mt19937 random(static_cast<unsigned>(number + 1));
  for (int i = 0; !stop; ++i) {
    const std::string id = "client-" + std::to_string(number) + "-" + std::to_string(i);
    const auto& entry = site.entries()[random() % site.entries().size()];
    record.Write("client sends " + id + " to " + entry);
    const auto answer = Call(entry, "GET", "/menu/" + id,
                             {{"Host", "pies.example"},
                              {"Request-Id", id},
                              {"Cookie", "Affinity-Key=" + std::to_string(random() % 200)},
                              {"Deadline-Ms", std::to_string(kTimeBudgetMs)}},
                             "", kTimeBudgetMs + 1'000);
    record.Write("client got " + id + " " + std::to_string(StatusOf(answer)));
    if (StatusOf(answer) == 200) ++served;
    SleepMs(kClientPauseMs);
  }
}

class Servers {
 public:
  Servers(const Deployment& site, std::string record) : site_(site), record_(std::move(record)) {}

  ~Servers() {
    for (const auto process : processes_) End(process);
  }
  Servers(const Servers&) = delete;
  Servers& operator=(const Servers&) = delete;

  pid_t Start(int number, std::int64_t clock_offset_ms, std::int64_t cold_ms) {
    std::string control;
    for (const auto& address : site_.control()) control += (control.empty() ? "" : ",") + address;
    const auto process =
        StartSelf({"server", site_.ServerAddress(number), "i-" + std::to_string(number),
                   Deployment::ZoneOf(number), std::to_string(clock_offset_ms),
                   std::to_string(cold_ms), control, record_});
    processes_.push_back(process);
    return process;
  }

  void Crash(pid_t process) {
    std::erase(processes_, process);
    End(process);
  }

 private:
  static void End(pid_t process) {
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }

  const Deployment& site_;
  std::string record_;
  std::vector<pid_t> processes_;
};

/// Returns the number of requests that reached the server too late after the
/// ack of its drain, or -1 without an ack.
int CountLateRequests(const std::string& path, Record& record) {
  std::ifstream lines(path);
  std::string line;
  std::int64_t acknowledged_at = 0;
  std::vector<std::int64_t> runs;
  while (std::getline(lines, line)) {
    const auto at = std::atoll(line.c_str());
    if (line.ends_with("server i-0 has the ack of its drain")) acknowledged_at = at;
    if (line.find("server i-0 runs ") != std::string::npos) runs.push_back(at);
  }
  if (acknowledged_at == 0) return -1;
  const auto late = std::count_if(runs.begin(), runs.end(),
                                  [&](auto at) { return at > acknowledged_at + kDrainMs; });
  record.Write("result: " + std::to_string(late) +
               " requests reached the server later than drainMs after the ack");
  return static_cast<int>(late);
}

int RunCase(const std::string& program, const std::string& folder, const std::string& record_path,
            bool trouble) {
  Record record(record_path);
  Deployment site(program, folder, kEntries);
  if (!site.Start({{"r-menu", "/menu/", "safe"}})) {
    record.Write("result: the deployment did not start");
    return 2;
  }
  Servers servers(site, record_path);
  for (int i = 1; i < kServers; ++i) servers.Start(i, 0, 0);
  SleepMs(kContactMs);
  std::atomic<bool> stop = false;
  std::atomic<int> served = 0;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] { RunClient(site, record, i, stop, served); });
  }
  const auto step_at = NowMs();
  const auto wait_until = [step_at](std::int64_t ms) {
    SleepMs(std::max<std::int64_t>(step_at + ms - NowMs(), 0));
  };
  record.Write(trouble ? "the time of day of the machine of i-0 steps ahead" : "no step");
  wait_until(kStartAtMs);
  const auto first = servers.Start(0, trouble ? kClockStepMs : 0, kColdStartMs);
  wait_until(kCrashAtMs);
  record.Write("server i-0 crashes; the time of day of its machine is right again");
  servers.Crash(first);
  wait_until(kBackAtMs);
  const auto second = servers.Start(0, 0, kColdStartMs);
  wait_until(kDrainAtMs);
  kill(second, SIGUSR1);
  wait_until(kEndAtMs);
  stop = true;
  for (auto& client : clients) client.join();
  if (!site.Stop() || served == 0) {
    record.Write("result: a process of the system ended, or nothing was served");
    return 2;
  }
  const int late = CountLateRequests(record_path, record);
  if (late < 0) {
    record.Write("result: the drain was not acknowledged");
    return 2;
  }
  return late > 0 ? 1 : 0;
}

}  // namespace
}  // namespace wagtailpick::review

int main(int argc, char** argv) {
  namespace review = wagtailpick::review;
  const std::vector<std::string> words(argv, argv + argc);
  if (argc == 9 && words[1] == "server") {
    return review::RunServer({words[2], words[3], words[4], std::atoll(words[5].c_str()),
                              std::atoll(words[6].c_str()), review::Split(words[7], ','),
                              words[8]});
  }
  if (argc == 6 && words[1] == "run") {
    return review::RunCase(words[2], words[3], words[4], words[5] == "1");
  }
  std::cerr << "usage: drain_case run PROGRAM FOLDER RECORD TROUBLE\n";
  return 2;
}
