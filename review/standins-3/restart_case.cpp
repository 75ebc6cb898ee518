// The stand-in servers, clients and provider of the cases about a server that has crashed and
// starts again at once under its id. Its first heartbeat comes one interval after its start.
//
//   restart_case run MODE PROGRAM FOLDER RECORD TROUBLE
//   restart_case server ADDRESS ID ZONE REFUSE_MS COLD_MS FIRST_HEARTBEAT_MS CONTROL RECORD
//
// In MODE "back_off" the server turns requests away after the start and wants nothing for a while.
// In MODE "cold" it is cold.

#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <thread>

#include "site.h"

namespace wagtailpick::review {
namespace {

constexpr int kServers = 7;
constexpr int kEntries = 9;
/// `contactMs` of the site crust-preorder.
constexpr std::int64_t kContactMs = 4'000;
constexpr std::int64_t kHeartbeatMs = 1'500;
constexpr std::int64_t kWorkMs = 15;
/// How long the crashed server is down.
constexpr std::int64_t kDownMs = 30;
/// How long the server turns requests away, and what it names in `Retry-After`.
constexpr std::int64_t kRefuseMs = 1'200;
constexpr std::int64_t kRetryAfterMs = 6'000;
/// The rule counts from this time after the refusal on.
constexpr std::int64_t kRuleSlackMs = 500;
constexpr int kAllowedRequests = 2;
constexpr std::int64_t kCrashAtMs = 4'000;
constexpr std::int64_t kEndAtMs = 13'000;
constexpr int kTimeBudgetMs = 2'000;
/// Clients of the two modes, and the pause between two requests of a client.
constexpr int kClients = 12;
constexpr int kClientsOfCold = 28;
constexpr std::int64_t kClientPauseMs = 45;
/// `coldStartS`, and the rule's bound: `coldPerS` x `coldFactor` + `coldSlack`.
constexpr std::int64_t kColdStartMs = 3'000;
constexpr double kColdBound = 7.4 * 1.5 + 5;
constexpr std::int64_t kColdWindowMs = 1'000;

/// Until when the server turns requests away.
std::atomic<std::int64_t> refuse_until = 0;

struct ServerOptions {
  std::string address;
  std::string id;
  std::string zone;
  std::int64_t refuse_ms = 0;
  /// How long the server is cold from its start on.
  std::int64_t cold_ms = 0;
  std::int64_t first_heartbeat_ms = 0;
  std::vector<std::string> control;
  std::string record;
};

std::string AnswerTo(const std::string& request_id, const ServerOptions& options, Record& record) {
  const std::string echo = "Request-Id: " + request_id + "\r\n";
  if (NowMs() < refuse_until) {
    record.Write("server " + options.id + " refuses " + request_id);
    return "HTTP/1.1 503 Service Unavailable\r\n" + echo +
           "Not-Run: 1\r\nRetry-After: " + std::to_string(kRetryAfterMs / 1'000) +
           "\r\nContent-Length: 0\r\n\r\n";
  }
  record.Write("server " + options.id + " runs " + request_id);
  SleepMs(kWorkMs);
  const std::string body = "fillings for " + request_id;
  return "HTTP/1.1 200 OK\r\n" + echo + "Server-Seal: " + options.id + "." + request_id +
         "\r\nServer-Load: 1,0,4\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

void ServeConnection(int socket, const ServerOptions& options, Record& record) {
  std::string rest;
  while (auto request = ReadMessage(socket, rest)) {
    const auto request_id = HeaderOf(*request, "Request-Id");
    const auto expected = HeaderOf(*request, "Expect-Instance");
    if (!expected.empty() && expected != options.id) {
      WriteAll(socket, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request_id +
                           "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    WriteAll(socket, AnswerTo(request_id, options, record));
  }
  close(socket);
}

int RunServer(const ServerOptions& options) {
  std::srand(static_cast<unsigned>(getpid()));
  std::signal(SIGUSR1, [](int) { refuse_until = NowMs() + kRefuseMs; });
  Record record(options.record);
  const int listener = Listen(options.address);
  if (listener < 0) return 2;
  refuse_until = NowMs() + options.refuse_ms;
  const auto born = UnixMs();
  const auto cold_until = NowMs() + options.cold_ms;
  record.Write("server " + options.id + " starts, cold until " + std::to_string(cold_until));
  std::thread([&options, &record, born, cold_until] {
    SleepMs(options.first_heartbeat_ms);
    for (std::int64_t sequence = 1;; ++sequence) {
      const bool acknowledged =
          CallControl(options.control, "/-/instances/" + options.id + "/heartbeat",
                      HeartbeatBody(options.address, options.zone, born, sequence, "ready",
                                    std::max<std::int64_t>(cold_until - NowMs(), 0)));
      if (sequence == 1 && acknowledged) record.Write("server " + options.id + " is announced");
      SleepMs(kHeartbeatMs);
    }
  }).detach();
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

  pid_t Start(int number, std::int64_t refuse_ms, std::int64_t cold_ms,
              std::int64_t first_heartbeat_ms) {
    std::string control;
    for (const auto& address : site_.control()) control += (control.empty() ? "" : ",") + address;
    const auto process =
        StartSelf({"server", site_.ServerAddress(number), "i-" + std::to_string(number),
                   Deployment::ZoneOf(number), std::to_string(refuse_ms), std::to_string(cold_ms),
                   std::to_string(first_heartbeat_ms), control, record_});
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

/// Returns the largest number of requests that reached the server through one machine between half
/// a second after a refusal of a request of that machine and the end of the time that it named.
int CountUnwanted(const std::string& path, Record& record) {
  std::ifstream lines(path);
  std::string line;
  std::map<std::string, std::string> entry_of;
  std::map<std::string, std::int64_t> refused_at;
  std::map<std::string, int> unwanted;
  while (std::getline(lines, line)) {
    std::istringstream words(line);
    std::int64_t at = 0;
    std::string who;
    std::string what;
    std::string third;
    std::string fourth;
    std::string fifth;
    words >> at >> who >> what >> third >> fourth >> fifth;
    if (who == "client" && what == "sends") entry_of[third] = fifth;
    if (who != "server" || what != "i-0" || (third != "runs" && third != "refuses")) continue;
    const auto& entry = entry_of[fourth];
    const auto refused = refused_at.find(entry);
    const bool is_unwanted = refused != refused_at.end() && at > refused->second + kRuleSlackMs &&
                             at < refused->second + kRetryAfterMs;
    if (is_unwanted) ++unwanted[entry];
    // The first refusal binds for as long as it says.
    if (third == "refuses") refused_at.emplace(entry, at);
  }
  int most = 0;
  for (const auto& [entry, count] : unwanted) {
    record.Write("result: " + std::to_string(count) + " requests from " + entry +
                 " within the time of Retry-After, allowed are " +
                 std::to_string(kAllowedRequests));
    most = std::max(most, count);
  }
  record.Write("result: the server refused requests of " + std::to_string(refused_at.size()) +
               " machines");
  return refused_at.empty() ? -1 : most;
}

/// Returns 1 if the cold server got more requests in some second than the rule allows, else 0.
int CountCold(const std::string& path, Record& record) {
  std::ifstream lines(path);
  std::string line;
  const std::string start = "server i-0 starts, cold until ";
  std::int64_t cold_until = 0;
  std::vector<std::int64_t> runs;
  while (std::getline(lines, line)) {
    const auto at = std::atoll(line.c_str());
    const auto found = line.find(start);
    if (found != std::string::npos) cold_until = std::atoll(line.c_str() + found + start.size());
    if (line.find("server i-0 runs ") != std::string::npos && at < cold_until) runs.push_back(at);
  }
  std::ptrdiff_t most = 0;
  for (const auto first : runs) {
    most = std::max(most, std::count_if(runs.begin(), runs.end(), [first](auto at) {
                      return at >= first && at < first + kColdWindowMs;
                    }));
  }
  record.Write("result: the cold server got " + std::to_string(most) +
               " requests in a second, allowed are " + std::to_string(kColdBound));
  return static_cast<double>(most) > kColdBound ? 1 : 0;
}

int RunCase(const std::string& mode, const std::string& program, const std::string& folder,
            const std::string& record_path, bool trouble) {
  Record record(record_path);
  Deployment site(program, folder, kEntries);
  if (!site.Start({{"r-menu", "/menu/", "safe"}})) {
    record.Write("result: the deployment did not start");
    return 2;
  }
  Servers servers(site, record_path);
  const auto first = servers.Start(0, 0, 0, 0);
  for (int i = 1; i < kServers; ++i) servers.Start(i, 0, 0, 0);
  SleepMs(kContactMs);
  std::atomic<bool> stop = false;
  std::atomic<int> served = 0;
  std::vector<std::thread> clients;
  clients.reserve(kClientsOfCold);
  const bool cold = mode == "cold";
  for (int i = 0; i < (cold ? kClientsOfCold : kClients); ++i) {
    clients.emplace_back([&, i] { RunClient(site, record, i, stop, served); });
  }
  SleepMs(kCrashAtMs);
  if (trouble) {
    record.Write("server i-0 crashes");
    servers.Crash(first);
    SleepMs(kDownMs);
    servers.Start(0, cold ? 0 : kRefuseMs, kColdStartMs, kHeartbeatMs);
  } else if (!cold) {
    kill(first, SIGUSR1);
  }
  SleepMs(kEndAtMs - kCrashAtMs);
  stop = true;
  for (auto& client : clients) client.join();
  if (!site.Stop() || served == 0) {
    record.Write("result: a process of the system ended, or nothing was served");
    return 2;
  }
  if (cold) return CountCold(record_path, record);
  const int most = CountUnwanted(record_path, record);
  if (most < 0) return 2;
  return most > kAllowedRequests ? 1 : 0;
}

}  // namespace
}  // namespace wagtailpick::review

int main(int argc, char** argv) {
  namespace review = wagtailpick::review;
  const std::vector<std::string> words(argv, argv + argc);
  if (argc == 10 && words[1] == "server") {
    return review::RunServer({words[2], words[3], words[4], std::atoll(words[5].c_str()),
                              std::atoll(words[6].c_str()), std::atoll(words[7].c_str()),
                              review::Split(words[8], ','), words[9]});
  }
  if (argc == 7 && words[1] == "run") {
    return review::RunCase(words[2], words[3], words[4], words[5], words[6] == "1");
  }
  std::cerr << "usage: restart_case run MODE PROGRAM FOLDER RECORD TROUBLE\n";
  return 2;
}
