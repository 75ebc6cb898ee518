#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

namespace review {
namespace {

constexpr int kPortsOfMachine = 8;
constexpr int kFirstBasePort = 21'000;
constexpr int kBasePortStep = 10;
constexpr int kBasePorts = 900;
constexpr int kServers = 4;
constexpr std::array<const char*, 3> kZones{"atl-a", "sav-a", "mac-a"};

std::string RedirectOf(const Message& answer) {
  const auto location = answer.Header("location");
  const auto start = location.find("//");
  if (start == std::string::npos) return {};
  return location.substr(start + 2, location.find('/', start + 2) - start - 2);
}

Message CallOnce(const std::string& address, const std::string& request) {
  const auto colon = address.find(':');
  const auto port = static_cast<std::uint16_t>(std::atoi(address.substr(colon + 1).c_str()));
  auto connection = Connection::Open(address.substr(0, colon), port);
  if (!connection || !connection->Send(request)) return {};
  return connection->Read(1'000).value_or(Message());
}

}  // namespace

Deployment::Deployment(std::string program, Record& record, int controls, int entries)
    : program_(std::move(program)), record_(record) {
  char folder[] = "/tmp/wagtailpick-review-XXXXXX";
  folder_ = mkdtemp(folder);
  network_ = "127.0." + std::to_string(20 + getpid() % 200) + ".";
  for (int i = 0; i < kBasePorts && base_port_ == 0; ++i) {
    const auto base =
        static_cast<std::uint16_t>(kFirstBasePort + ((getpid() + i) % kBasePorts) * kBasePortStep);
    bool free = true;
    const auto check = [&](const std::string& ip) {
      free = free && PortsAreFree(ip, base, kPortsOfMachine);
    };
    for (int control = 0; control < controls; ++control) check(ControlIp(control));
    for (int entry = 0; entry < entries; ++entry) check(EntryIp(entry));
    for (int server = 0; server < kServers; ++server) check(ServerIp(server));
    if (free) base_port_ = base;
  }
}

Deployment::~Deployment() {
  while (!processes_.empty()) Kill(processes_.begin()->first);
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void Deployment::WriteFile(const std::string& name, const std::string& text) const {
  std::ofstream(folder_ + "/" + name + ".ini") << text;
}

std::string Deployment::NodeSection(const std::string& role, const std::string& vm,
                                    const std::string& ip, int zone,
                                    const std::vector<int>& seeds) const {
  std::string text = "[node]\nrole = " + role + "\nvm = " + vm + "\ndata_centre = ";
  text += kZones.at(static_cast<std::size_t>(zone) % kZones.size());
  text += "\nregions = atl-a:atl,sav-a:sav,mac-a:mac\nip = " + ip;
  text += "\ncluster_port = " + std::to_string(base_port_ + 2);
  text += "\nmetrics_port = 0\nlink_mbps = 1000\nmemory_mb = 260\nseeds = ";
  for (const int seed : seeds) {
    if (seed != seeds.front()) text += ",";
    text += ControlIp(seed) + ":" + std::to_string(orders_port());
  }
  return text + "\n";
}

void Deployment::WriteControl(int index, const std::vector<int>& seeds, bool first_start) {
  const auto name = ControlName(index);
  const auto ip = ControlIp(index);
  WriteFile(name, NodeSection("control", name, ip, index, seeds) + "[control]\norders = " + ip +
                      ":" + std::to_string(orders_port()) + "\ndirectory = " + ip + ":" +
                      std::to_string(directory_port()) + "\ndata_folder = " + folder_ + "/data-" +
                      name + "\nfirst_start = " + (first_start ? "true" : "false") +
                      "\ndirectory_lifetime_s = 5\n");
}

void Deployment::WriteEntry(int index, const std::vector<int>& seeds) {
  const auto name = EntryName(index);
  const auto ip = EntryIp(index);
  WriteFile(name, NodeSection("entry", name, ip, index, seeds) + "[entry]\ncallers = " + ip + ":" +
                      std::to_string(callers_port()) + "\nreadiness = " + ip + ":" +
                      std::to_string(ready_port()) +
                      "\ngrace_s = 6\ncold_factor = 1.5\ncold_slack = 5\nretry_ratio = 0.2\n"
                      "retry_slack = 62\nretry_window_s = 10\n");
}

bool Deployment::Start(const std::string& name) {
  const std::string settings = "WAGTAILPICK_CONFIG=" + folder_ + "/" + name + ".ini";
  const std::string log = folder_ + "/" + name + ".log";
  const pid_t child = fork();
  if (child < 0) return false;
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    std::string path = "PATH=/usr/bin:/bin";
    std::string variable = settings;
    char* environment[] = {variable.data(), path.data(), nullptr};
    char* arguments[] = {program_.data(), nullptr};
    execve(program_.c_str(), arguments, environment);
    _exit(127);
  }
  processes_[name] = child;
  record_.Write("started " + name + ", process " + std::to_string(child));
  return true;
}

void Deployment::Kill(const std::string& name) {
  const auto found = processes_.find(name);
  if (found == processes_.end()) return;
  kill(found->second, SIGKILL);
  waitpid(found->second, nullptr, 0);
  processes_.erase(found);
  record_.Write("killed " + name);
}

bool Deployment::IsRunning(const std::string& name) {
  const auto found = processes_.find(name);
  return found != processes_.end() && waitpid(found->second, nullptr, WNOHANG) == 0;
}

bool Deployment::IsReady(int entry) {
  const auto request = "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
  return CallOnce(EntryIp(entry) + ":" + std::to_string(ready_port()), request).status() == 200;
}

bool Deployment::AwaitReady(int entry, long timeout_ms) {
  const auto end = SteadyMillis() + timeout_ms;
  while (SteadyMillis() < end) {
    if (IsReady(entry)) return true;
    SleepMillis(100);
  }
  return false;
}

Message CallControl(Deployment& deployment, const std::vector<int>& controls,
                    const std::string& method, const std::string& path, const std::string& body,
                    long timeout_ms) {
  const std::string request = method + " " + path +
                              " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                              "Content-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body;
  const auto end = SteadyMillis() + timeout_ms;
  Message answer;
  for (std::size_t i = 0; SteadyMillis() < end; ++i) {
    std::string address = deployment.ControlIp(controls.at(i % controls.size())) + ":" +
                          std::to_string(deployment.orders_port());
    answer = CallOnce(address, request);
    for (int redirects = 0; redirects < 2 && answer.status() == 307; ++redirects) {
      address = RedirectOf(answer);
      if (address.empty()) break;
      answer = CallOnce(address, request);
    }
    if (answer.status() == 200 || answer.status() == 400) return answer;
    SleepMillis(100);
  }
  return answer;
}

}  // namespace review
