// The stand-in servers, clients and provider of the cases about a request that
// crashes each server that begins to run it.
//
//   crash_case run MODE PROGRAM FOLDER RECORD TROUBLE
//   crash_case server ADDRESS ID ZONE MODE TROUBLE COLD_MS CONTROL RECORD
//
// In MODE "exit" the process of the server ends and its connections close. In
// MODE "dark" the server falls silent, as on a machine without power, and its
// connections hang until it is back.

#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "site.h"

namespace wagtailpick::review {
namespace {

constexpr int kServers = 8;
constexpr int kEntries = 3;
/// `contactMs` of the site crust-preorder.
constexpr std::int64_t kContactMs = 4'000;
constexpr std::int64_t kHeartbeatMs = 1'500;
/// A server that starts during traffic is cold for `coldStartS`.
constexpr std::int64_t kColdStartMs = 3'000;
constexpr std::int64_t kWorkMs = 30;
/// A server is back after some seconds.
constexpr std::int64_t kDownMs = 2'500;
constexpr std::int64_t kDarkMs = 4'000;
constexpr std::int64_t kCallerIntervalMs = 1'000;
constexpr std::int64_t kDurationMs = 40'000;
constexpr int kTimeBudgetMs = 2'000;
constexpr int kOtherClients = 6;
constexpr std::int64_t kClientPauseMs = 50;
/// More retries than this break the rule.
constexpr int kAllowedRetries = 3;
/// The caller whose request crashes servers concerns this object.
constexpr const char* kBadObject = "Affinity-Key=17";

struct ServerOptions {
  std::string address;
  std::string id;
  std::string zone;
  std::string mode;
  bool trouble = false;
  /// How long the server is cold from its start on.
  std::int64_t cold_ms = 0;
  std::vector<std::string> control;
  std::string record;
};

void Crash(const ServerOptions& options, Record& record, const std::string& request_id) {
  record.Write("server " + options.id + " crashes on " + request_id);
  if (options.mode == "dark") raise(SIGSTOP);
  _exit(1);
}

void ServeConnection(int socket, const ServerOptions& options, Record& record) {
  std::string rest;
  while (auto request = ReadMessage(socket, rest)) {
    const auto request_id = HeaderOf(*request, "Request-Id");
    const auto expected = HeaderOf(*request, "Expect-Instance");
    const std::string echo = "Request-Id: " + request_id + "\r\n";
    if (!expected.empty() && expected != options.id) {
      WriteAll(socket, "HTTP/1.1 421 Misdirected Request\r\n" + echo +
                           "Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    const auto object = HeaderOf(*request, "Cookie");
    record.Write("server " + options.id + " runs " + request_id + " for " + object);
    if (options.trouble && object == kBadObject) Crash(options, record, request_id);
    SleepMs(kWorkMs);
    const std::string body = "fillings for " + request_id;
    WriteAll(socket, "HTTP/1.1 200 OK\r\n" + echo + "Server-Seal: " + options.id + "." +
                         request_id + "\r\nServer-Load: 1,0,4\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  close(socket);
}

int RunServer(const ServerOptions& options) {
  std::srand(static_cast<unsigned>(getpid()));
  Record record(options.record);
  const int listener = Listen(options.address);
  if (listener < 0) return 2;
  const auto born = UnixMs();
  const auto cold_until = NowMs() + options.cold_ms;
  std::thread([&options, born, cold_until] {
    for (std::int64_t sequence = 1;; ++sequence) {
      CallControl(options.control, "/-/instances/" + options.id + "/heartbeat",
                  HeartbeatBody(options.address, options.zone, born, sequence, "ready",
                                std::max<std::int64_t>(cold_until - NowMs(), 0)));
      SleepMs(kHeartbeatMs);
    }
  }).detach();
  while (true) {
    const int socket = accept(listener, nullptr, nullptr);
    if (socket < 0) continue;
    std::thread(ServeConnection, socket, std::cref(options), std::ref(record)).detach();
  }
}

/// Starts each server again some seconds after it has crashed, with a new id at
/// its address.
class Servers {
 public:
  Servers(const Deployment& site, std::string mode, bool trouble, std::string record)
      : site_(site), mode_(std::move(mode)), trouble_(trouble), record_(std::move(record)) {
    for (int i = 0; i < kServers; ++i) Start(i);
  }

  ~Servers() {
    for (const auto& server : running_) {
      if (server.process <= 0) continue;
      kill(server.process, SIGKILL);
      waitpid(server.process, nullptr, 0);
    }
  }
  Servers(const Servers&) = delete;
  Servers& operator=(const Servers&) = delete;

  void Check() {
    for (int i = 0; i < kServers; ++i) {
      auto& server = running_[i];
      int status = 0;
      if (server.process > 0 && waitpid(server.process, &status, WNOHANG | WUNTRACED) > 0) {
        server.back_at = NowMs() + (WIFSTOPPED(status) ? kDarkMs : kDownMs);
        if (!WIFSTOPPED(status)) server.process = 0;
      }
      if (server.back_at == 0 || NowMs() < server.back_at) continue;
      if (server.process > 0) {
        kill(server.process, SIGKILL);
        waitpid(server.process, nullptr, 0);
      }
      Start(i);
    }
  }

 private:
  struct Server {
    pid_t process = 0;
    std::int64_t back_at = 0;
    int boot = 0;
  };

  void Start(int number) {
    auto& server = running_[number];
    ++server.boot;
    std::string control;
    for (const auto& address : site_.control()) control += (control.empty() ? "" : ",") + address;
    server.process =
        StartSelf({"server", site_.ServerAddress(number),
                   "i-" + std::to_string(number) + "-" + std::to_string(server.boot),
                   Deployment::ZoneOf(number), mode_, trouble_ ? "1" : "0",
                   server.boot > 1 ? std::to_string(kColdStartMs) : "0", control, record_});
    server.back_at = 0;
  }

  const Deployment& site_;
  std::string mode_;
  bool trouble_;
  std::string record_;
  Server running_[kServers];
};

/// Sends one request to one of the entries, and records it.
int Send(const Deployment& site, Record& record, std::mt19937& random, const std::string& target,
         const std::string& request_id, const std::string& object) {
  const auto& entry = site.entries()[random() % site.entries().size()];
  record.Write("client sends " + request_id + " GET " + target + " for " + object + " to " + entry);
  const auto answer = Call(entry, "GET", target,
                           {{"Host", "pies.example"},
                            {"Request-Id", request_id},
                            {"Cookie", object},
                            {"Deadline-Ms", std::to_string(kTimeBudgetMs)}},
                           "", kTimeBudgetMs + 1'000);
  record.Write("client got " + request_id + " " + std::to_string(StatusOf(answer)));
  return StatusOf(answer);
}

/// Requests of other callers: for the same path, or each for a path of its own.
void RunOtherClient(const Deployment& site, Record& record, int number, bool same_path,
                    const std::atomic<bool>& stop, std::atomic<int>& served) {
  std::mt19937 random(static_cast<unsigned>(number + 1));
  for (int i = 0; !stop; ++i) {
    const std::string id = "other-" + std::to_string(number) + "-" + std::to_string(i);
    const std::string object = "Affinity-Key=" + std::to_string(100 + random() % 200);
    const std::string target = same_path ? "/menu/fillings" : "/menu/pie/" + id;
    if (Send(site, record, random, target, id, object) == 200) ++served;
    SleepMs(kClientPauseMs);
  }
}

/// Counts the retries of the bad request that reached servers too late, by the
/// record.
int CountLateRetries(const std::string& path, Record& record) {
  std::ifstream lines(path);
  std::string line;
  std::vector<std::int64_t> crashes;
  std::vector<std::int64_t> runs;
  while (std::getline(lines, line)) {
    std::istringstream words(line);
    std::int64_t at = 0;
    words >> at;
    if (line.find(" crashes on ") != std::string::npos) crashes.push_back(at);
    const bool is_run = line.find(" runs ") != std::string::npos;
    if (is_run && line.ends_with(std::string(" for ") + kBadObject)) runs.push_back(at);
  }
  int late = 0;
  if (crashes.size() >= 3) {
    for (const auto at : runs) late += at > crashes[2] + kContactMs ? 1 : 0;
  }
  record.Write("result: " + std::to_string(crashes.size()) + " crashes, " + std::to_string(late) +
               " retries reached servers later than contactMs after the third, "
               "allowed are " +
               std::to_string(kAllowedRetries));
  return late;
}

int RunCase(const std::string& mode, const std::string& program, const std::string& folder,
            const std::string& record_path, bool trouble) {
  Record record(record_path);
  Deployment site(program, folder, kEntries);
  if (!site.Start({{"r-menu", "/menu/", "safe"}})) {
    record.Write("result: the deployment did not start");
    return 2;
  }
  std::atomic<bool> stop = false;
  std::atomic<int> served = 0;
  Servers servers(site, mode, trouble, record_path);
  SleepMs(kContactMs + 1'000);
  std::vector<std::thread> clients;
  clients.reserve(kOtherClients + 1);
  for (int i = 0; i < kOtherClients; ++i) {
    clients.emplace_back([&, i] { RunOtherClient(site, record, i, mode == "exit", stop, served); });
  }
  clients.emplace_back([&] {
    std::mt19937 random(99);
    const std::string target = mode == "exit" ? "/menu/fillings" : "/menu/pie/17";
    for (int i = 0; !stop; ++i) {
      const auto due = NowMs() + kCallerIntervalMs;
      Send(site, record, random, target, "bad-" + std::to_string(i), kBadObject);
      SleepMs(std::max<std::int64_t>(due - NowMs(), 1));
    }
  });
  const auto end = NowMs() + kDurationMs;
  while (NowMs() < end) {
    servers.Check();
    SleepMs(20);
  }
  stop = true;
  for (auto& client : clients) client.join();
  if (!site.Stop() || served == 0) {
    record.Write("result: a process of the system ended, or nothing was served");
    return 2;
  }
  record.Write("other callers served: " + std::to_string(served));
  return CountLateRetries(record_path, record) > kAllowedRetries ? 1 : 0;
}

}  // namespace
}  // namespace wagtailpick::review

int main(int argc, char** argv) {
  namespace review = wagtailpick::review;
  const std::vector<std::string> words(argv, argv + argc);
  if (argc == 10 && words[1] == "server") {
    return review::RunServer({words[2], words[3], words[4], words[5], words[6] == "1",
                              std::atoll(words[7].c_str()), review::Split(words[8], ','),
                              words[9]});
  }
  if (argc == 7 && words[1] == "run") {
    return review::RunCase(words[2], words[3], words[4], words[5], words[6] == "1");
  }
  std::cerr << "usage: crash_case run MODE PROGRAM FOLDER RECORD TROUBLE\n";
  return 2;
}
