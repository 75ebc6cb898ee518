#include "site.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace wagtailpick::review {
namespace {

constexpr int kControlCount = 3;
constexpr int kStartTimeMs = 20'000;
constexpr std::array<const char*, 3> kZones{"atl-a", "sav-a", "mac-a"};
constexpr const char* kRegions = "atl-a:atl,sav-a:sav,mac-a:mac";

bool Parse(const std::string& address, sockaddr_in& out) {
  const auto colon = address.find(':');
  if (colon == std::string::npos) return false;
  out = {};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  return inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) == 1;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return text;
}

std::string Trim(const std::string& text) {
  const auto first = text.find_first_not_of(" \t");
  return first == std::string::npos ? ""
                                    : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

HttpMessage ParseHead(const std::string& head) {
  HttpMessage message;
  std::istringstream lines(head);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const auto colon = line.find(':');
    if (message.start_line.empty()) {
      message.start_line = line;
    } else if (colon != std::string::npos) {
      message.headers.emplace_back(line.substr(0, colon), Trim(line.substr(colon + 1)));
    }
  }
  return message;
}

/// Returns a port that is free on `ip`.
int FreePort(const std::string& ip) {
  const int socket = Listen(ip + ":0");
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
  close(socket);
  return ntohs(address.sin_port);
}

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

std::string HeaderOf(const HttpMessage& message, const std::string& name) {
  for (const auto& [key, value] : message.headers) {
    if (Lower(key) == Lower(name)) return value;
  }
  return {};
}

int StatusOf(const HttpMessage& answer) {
  const auto space = answer.start_line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(answer.start_line.c_str() + space + 1);
}

std::optional<HttpMessage> ReadMessage(int socket, std::string& rest) {
  std::array<char, 16'384> buffer{};
  auto end = rest.find("\r\n\r\n");
  while (end == std::string::npos) {
    const auto length = recv(socket, buffer.data(), buffer.size(), 0);
    if (length <= 0) return std::nullopt;
    rest.append(buffer.data(), static_cast<std::size_t>(length));
    end = rest.find("\r\n\r\n");
  }
  auto message = ParseHead(rest.substr(0, end));
  rest.erase(0, end + 4);
  const auto size =
      static_cast<std::size_t>(std::atol(HeaderOf(message, "Content-Length").c_str()));
  while (rest.size() < size) {
    const auto length = recv(socket, buffer.data(), buffer.size(), 0);
    if (length <= 0) return std::nullopt;
    rest.append(buffer.data(), static_cast<std::size_t>(length));
  }
  message.body = rest.substr(0, size);
  rest.erase(0, size);
  return message;
}

bool WriteAll(int socket, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto length = send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (length <= 0) return false;
    done += static_cast<std::size_t>(length);
  }
  return true;
}

int Connect(const std::string& address, int timeout_ms) {
  sockaddr_in peer{};
  if (!Parse(address, peer)) return -1;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval timeout{timeout_ms / 1'000, timeout_ms % 1'000 * 1'000L};
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(socket, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) == 0) return socket;
  close(socket);
  return -1;
}

int Listen(const std::string& address) {
  sockaddr_in own{};
  if (!Parse(address, own)) return -1;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const bool bound = bind(socket, reinterpret_cast<sockaddr*>(&own), sizeof(own)) == 0;
  if (bound && listen(socket, 256) == 0) return socket;
  close(socket);
  return -1;
}

HttpMessage Call(const std::string& address, const std::string& method, const std::string& target,
                 const Headers& headers, const std::string& body, int timeout_ms) {
  const int socket = Connect(address, timeout_ms);
  if (socket < 0) return {};
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) text.append(name).append(": ").append(value) += "\r\n";
  if (method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  std::string rest;
  std::optional<HttpMessage> answer;
  if (WriteAll(socket, text + "\r\n" + body)) answer = ReadMessage(socket, rest);
  close(socket);
  return answer.value_or(HttpMessage{});
}

Record::Record(const std::string& path)
    : file_(open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)) {}

void Record::Write(const std::string& text) {
  const std::string line = std::to_string(NowMs()) + " " + text + "\n";
  if (write(file_, line.data(), line.size()) < 0) std::abort();
}

Deployment::Deployment(std::string program, std::string folder, int entries)
    : program_(std::move(program)),
      folder_(std::move(folder)),
      network_("127." + std::to_string(20 + getpid() % 200) + ".0.") {
  for (const auto* use : {"cluster", "orders", "callers", "ready", "server"}) {
    ports_[use] = FreePort(network_ + "10");
  }
  for (int i = 0; i < kControlCount; ++i) {
    control_.push_back(network_ + std::to_string(10 + i) + ":" + std::to_string(ports_["orders"]));
  }
  for (int i = 0; i < entries; ++i) {
    const std::string ip = network_ + std::to_string(30 + i);
    entries_.push_back(ip + ":" + std::to_string(ports_["callers"]));
    readiness_.push_back(ip + ":" + std::to_string(ports_["ready"]));
  }
}

Deployment::~Deployment() { Stop(); }

std::string Deployment::ZoneOf(int number) {
  return kZones.at(static_cast<std::size_t>(number) % kZones.size());
}

std::string Deployment::ServerAddress(int number) const {
  return network_ + std::to_string(60 + number) + ":" + std::to_string(ports_.at("server"));
}

void Deployment::StartProcess(const std::string& name, const std::string& settings) {
  const std::string path = folder_ + "/" + name + ".ini";
  std::ofstream(path) << settings;
  const std::string variable = "WAGTAILPICK_CONFIG=" + path;
  const std::string output = folder_ + "/" + name + ".log";
  const pid_t process = fork();
  if (process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    std::string program = program_;
    std::array<char*, 2> arguments{program.data(), nullptr};
    std::string config = variable;
    std::array<char*, 2> environment{config.data(), nullptr};
    execve(program.c_str(), arguments.data(), environment.data());
    _exit(127);
  }
  processes_.push_back(process);
}

bool Deployment::Start(const std::vector<Route>& routes) {
  std::string seeds;
  for (const auto& address : control_) seeds += (seeds.empty() ? "" : ",") + address;
  const auto node = [&](const std::string& role, const std::string& name, int number,
                        const std::string& ip) {
    return "[node]\nrole = " + role + "\nvm = " + name + "\ndata_centre = " + ZoneOf(number) +
           "\nregions = " + kRegions + "\nip = " + ip +
           "\ncluster_port = " + std::to_string(ports_["cluster"]) +
           "\nlink_mbps = 1000\nmemory_mb = 260\nseeds = " + seeds + "\n";
  };
  for (int i = 0; i < kControlCount; ++i) {
    const std::string name = "core-" + std::to_string(i);
    const auto& address = control_.at(static_cast<std::size_t>(i));
    mkdir((folder_ + "/" + name).c_str(), 0755);
    StartProcess(name, node("control", name, i, Split(address, ':').front()) +
                           "[control]\norders = " + address + "\ndirectory = " + address +
                           "\ndata_folder = " + folder_ + "/" + name +
                           "\nfirst_start = true\ndirectory_lifetime_s = 5\n");
  }
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const std::string name = "front-" + std::to_string(i);
    StartProcess(name, node("entry", name, static_cast<int>(i), Split(entries_[i], ':').front()) +
                           "[entry]\ncallers = " + entries_[i] + "\nreadiness = " + readiness_[i] +
                           "\ngrace_s = 6\ncold_factor = 1.5\ncold_slack = "
                           "5\nretry_ratio = 0.2\n"
                           "retry_slack = 62\nretry_window_s = 10\n");
  }
  return PutConfig(routes);
}

bool Deployment::PutConfig(const std::vector<Route>& routes) {
  std::string resources;
  for (const auto& route : routes) {
    resources += R"({"type":"routes","meta":{"name":")" + route.name +
                 R"("},"spec":{"host":"pies.example","pathPrefix":")" + route.prefix +
                 R"(","kind":")" + route.kind + R"(","timeoutMs":)" +
                 std::to_string(route.timeout_ms) + R"(,"goalMs":)" +
                 std::to_string(route.goal_ms) +
                 R"(,"priority":1,"service":"menu","attempts":2,"sticky":true,"homeRegions":[]}},)";
  }
  const std::string config =
      R"({"version":1,"resources":[)" + resources +
      R"({"type":"services","meta":{"name":"menu"},"spec":{"healthPath":"/health","maxConns":390,)"
      R"("proto":"h1","tls":false,"coldStartS":3.0,"coldPerS":7.4}},)"
      R"({"type":"limits","meta":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
      R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}}]})";
  const auto give_up_at = NowMs() + kStartTimeMs;
  bool accepted = false;
  while (NowMs() < give_up_at) {
    SleepMs(100);
    if (!accepted) {
      // Two redirects at most, as the operator follows them.
      std::string address = control_.front();
      for (int hop = 0; hop < 3 && !accepted; ++hop) {
        const auto answer =
            Call(address, "POST", "/-/config/put",
                 {{"Host", "control"}, {"Content-Type", "application/json"}}, config, 1'000);
        accepted = StatusOf(answer) == 200;
        const auto location = HeaderOf(answer, "Location");
        if (StatusOf(answer) != 307 || location.size() < 8) break;
        address = location.substr(7, location.find('/', 7) - 7);
      }
      continue;
    }
    const bool ready = std::all_of(readiness_.begin(), readiness_.end(), [](const auto& address) {
      return StatusOf(Call(address, "GET", "/-/ready", {{"Host", "ready"}}, "", 1'000)) == 200;
    });
    if (ready) return true;
  }
  return false;
}

bool Deployment::Stop() {
  bool all_running = true;
  for (const auto process : std::exchange(processes_, {})) {
    all_running = waitpid(process, nullptr, WNOHANG) == 0 && all_running;
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }
  return all_running;
}

std::string HeartbeatBody(const std::string& address, const std::string& zone, std::int64_t born,
                          std::int64_t sequence, const std::string& state,
                          std::int64_t cold_left_ms) {
  return R"({"addr":")" + address + R"(","born":)" + std::to_string(born) +
         R"(,"info":{"service":"menu","version":"v1","zone":")" + zone +
         R"(","slots":4},"status":{"state":")" + state + R"(","seq":)" + std::to_string(sequence) +
         R"(,"coldLeftMs":)" + std::to_string(cold_left_ms) + "}}";
}

bool CallControl(const std::vector<std::string>& control, const std::string& target,
                 const std::string& body) {
  const auto first = static_cast<std::size_t>(std::rand());
  for (std::size_t i = 0; i < control.size(); ++i) {
    const auto answer =
        Call(control[(first + i) % control.size()], "POST", target,
             {{"Host", "control"}, {"Content-Type", "application/json"}}, body, 1'000);
    if (StatusOf(answer) / 100 == 2) return true;
  }
  return false;
}

pid_t StartSelf(const std::vector<std::string>& arguments) {
  const pid_t process = fork();
  if (process != 0) return process;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  std::vector<std::string> texts{"site"};
  texts.insert(texts.end(), arguments.begin(), arguments.end());
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (auto& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  execv("/proc/self/exe", pointers.data());
  _exit(127);
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, separator)) parts.push_back(part);
  return parts;
}

}  // namespace wagtailpick::review
