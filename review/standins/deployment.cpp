#include "deployment.h"

#include <fcntl.h>
#include <netinet/in.h>
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
#include <random>
#include <set>
#include <stdexcept>
#include <utility>

namespace wagtailpick::review {
namespace {

constexpr double kRestartDelayS = 0.5;
constexpr double kSupervisorPauseS = 0.01;
constexpr double kBytesPerMb = 1'048'576;
constexpr int kUpstreamOffset = 100;
constexpr std::size_t kPorts = 6;

/// Zones of manta-alta and their regions.
constexpr std::array<const char*, 6> kZones{"mvd-a", "pde-a", "col-a", "mvd-b", "pde-b", "col-b"};
constexpr const char* kRegions = "mvd-a:mvd,pde-a:pde,col-a:col,mvd-b:mvd,pde-b:pde,col-b:col";

/// A port that nothing uses at any local address.
int FreePort() {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_ANY);
  socklen_t size = sizeof(address);
  static_cast<void>(
      ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(descriptor);
  return ntohs(address.sin_port);
}

int OpenOutput(const std::string& path) {
  return ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

std::string DescribeEnd(int status) {
  if (WIFSIGNALED(status)) return "signal " + std::to_string(WTERMSIG(status));
  return "exit code " + std::to_string(WEXITSTATUS(status));
}

double ResidentMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  std::uint64_t size = 0;
  std::uint64_t resident = 0;
  file >> size >> resident;
  return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / kBytesPerMb;
}

}  // namespace

Deployment::Deployment(std::string program, std::string folder, const Options& options,
                       Record& record)
    : program_(std::move(program)),
      folder_(std::move(folder)),
      record_(record),
      control_count_(static_cast<std::size_t>(options.controls)) {
  std::random_device random;
  network_ = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250);
  std::set<int> free;
  while (free.size() < kPorts) free.insert(FreePort());
  auto next = free.begin();
  for (int* port : {&ports_.cluster, &ports_.control, &ports_.directory, &ports_.callers,
                    &ports_.readiness, &ports_.upstream}) {
    *port = *next++;
  }
  for (int i = 0; i < options.controls + options.entries; ++i) {
    Machine machine;
    machine.is_control = i < options.controls;
    const int number = machine.is_control ? i : i - options.controls;
    machine.zone = kZones.at(static_cast<std::size_t>(number) % kZones.size());
    machine.name = (machine.is_control ? "core-" : "front-") + machine.zone + "-" +
                   std::to_string(1 + number / static_cast<int>(kZones.size()));
    machine.ip = Ip(10 + i);
    machine.memory_mb = machine.is_control ? options.control_memory_mb : options.entry_memory_mb;
    machines_.push_back(std::move(machine));
  }
}

Deployment::~Deployment() { Stop(); }

std::string Deployment::Ip(int number) const { return network_ + "." + std::to_string(number); }

std::vector<std::string> Deployment::Names(bool is_control) const {
  std::vector<std::string> names;
  for (const auto& machine : machines_) {
    if (machine.is_control == is_control) names.push_back(machine.name);
  }
  return names;
}

Address Deployment::Control(std::size_t number) const {
  return {machines_.at(number).ip, ports_.control};
}

Address Deployment::Callers(std::size_t number) const {
  return {machines_.at(control_count_ + number).ip, ports_.callers};
}

Address Deployment::Readiness(std::size_t number) const {
  return {machines_.at(control_count_ + number).ip, ports_.readiness};
}

Address Deployment::Upstream(int number) const {
  return {Ip(kUpstreamOffset + number), ports_.upstream};
}

std::string Deployment::ZoneOfEntry(std::size_t number) const {
  return machines_.at(control_count_ + number).zone;
}

// The same lines as the template of the deploy file, deploy/settings.ini, filled in for manta-alta.
std::string Deployment::Settings(const Machine& machine) const {
  std::string seeds;
  for (std::size_t i = 0; i < std::min<std::size_t>(control_count_, 3); ++i) {
    seeds += (i == 0 ? "" : ",") + Control(i).ToString();
  }
  std::string text = "[node]\nrole = ";
  text += machine.is_control ? "control" : "entry";
  text += "\nvm = " + machine.name + "\ndata_centre = " + machine.zone +
          "\nregions = " + std::string(kRegions) + "\nip = " + machine.ip +
          "\ncluster_port = " + std::to_string(ports_.cluster) +
          "\nlink_mbps = 1000.0\nseeds = " + seeds + "\n\n";
  if (!machine.is_control) {
    return text + "[entry]\ncallers = " + Address{machine.ip, ports_.callers}.ToString() +
           "\nreadiness = " + Address{machine.ip, ports_.readiness}.ToString() +
           "\ngrace_s = 6\ncold_factor = 1.5\ncold_slack = 5\nretry_ratio = 0.2\n" +
           "retry_slack = 58\nretry_window_s = 10\n";
  }
  return text + "[control]\norders = " + Address{machine.ip, ports_.control}.ToString() +
         "\ndirectory = " + Address{machine.ip, ports_.directory}.ToString() +
         "\ndata_folder = " + folder_ + "/" + machine.name +
         "/data\nfirst_start = " + (machine.started_before ? "false" : "true") +
         "\ndirectory_lifetime_s = 5\n";
}

void Deployment::StartProcess(Machine& machine) {
  const std::string folder = folder_ + "/" + machine.name;
  ::mkdir(folder.c_str(), 0755);
  if (machine.is_control) ::mkdir((folder + "/data").c_str(), 0755);
  const std::string settings = folder + "/settings.ini";
  std::ofstream(settings) << Settings(machine);
  machine.started_before = true;
  const int output = OpenOutput(folder + "/output");
  const std::string variable = "WAGTAILPICK_CONFIG=" + settings;
  std::array<char*, 2> arguments{program_.data(), nullptr};
  std::array<char*, 2> environment{const_cast<char*>(variable.c_str()), nullptr};
  const pid_t parent = ::getpid();
  machine.pid = ::fork();
  if (machine.pid == 0) {
    // Only async-signal-safe calls are allowed here, as the parent has several threads.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execve(program_.c_str(), arguments.data(), environment.data());
    ::_exit(127);
  }
  ::close(output);
  machine.signalled = false;
  machine.over_memory = false;
  record_.Write("process " + machine.name + " starts");
}

void Deployment::Start() {
  const std::lock_guard lock(mutex_);
  for (auto& machine : machines_) StartProcess(machine);
  // The thread that starts processes must live as long as they do: PR_SET_PDEATHSIG follows it.
  supervisor_ = std::thread([this] { Supervise(); });
}

void Deployment::Supervise() {
  while (!stopping_) {
    {
      const std::lock_guard lock(mutex_);
      for (auto& machine : machines_) CheckProcess(machine);
    }
    Sleep(kSupervisorPauseS);
  }
}

void Deployment::CheckProcess(Machine& machine) {
  if (machine.pid < 0) {
    if (record_.Now() >= machine.start_due) StartProcess(machine);
    return;
  }
  int status = 0;
  if (::waitpid(machine.pid, &status, WNOHANG) == machine.pid) {
    machine.pid = -1;
    machine.start_due = record_.Now() + kRestartDelayS;
    const bool own = !machine.signalled;
    if (own) ++machine.own_ends;
    std::string how = own ? " ended by itself: " : " ended: ";
    if (machine.over_memory) how = " was killed, as it used more memory than the machine has: ";
    record_.Write("process " + machine.name + how + DescribeEnd(status));
    return;
  }
  const double resident = ResidentMb(machine.pid);
  machine.peak_mb = std::max(machine.peak_mb, resident);
  if (resident <= machine.memory_mb || machine.over_memory) return;
  record_.Write("process " + machine.name + " uses " + std::to_string(resident) + " MB of " +
                std::to_string(machine.memory_mb));
  machine.over_memory = true;
  ::kill(machine.pid, SIGKILL);
}

Deployment::Machine& Deployment::Find(const std::string& name) {
  for (auto& machine : machines_) {
    if (machine.name == name) return machine;
  }
  throw std::runtime_error("no machine " + name);
}

void Deployment::Signal(const std::string& machine, int signal) {
  const std::lock_guard lock(mutex_);
  auto& found = Find(machine);
  if (found.pid < 0) return;
  record_.Write("signal " + std::to_string(signal) + " to " + machine);
  if (signal == SIGTERM || signal == SIGKILL) found.signalled = true;
  ::kill(found.pid, signal);
}

bool Deployment::Runs(const std::string& machine) {
  const std::lock_guard lock(mutex_);
  return Find(machine).pid >= 0;
}

int Deployment::OwnEnds(const std::string& machine) {
  const std::lock_guard lock(mutex_);
  return Find(machine).own_ends;
}

double Deployment::MemoryMb(const std::string& machine) {
  const std::lock_guard lock(mutex_);
  const auto& found = Find(machine);
  return found.pid < 0 ? 0 : ResidentMb(found.pid);
}

double Deployment::PeakMemoryMb(const std::string& machine) {
  const std::lock_guard lock(mutex_);
  return Find(machine).peak_mb;
}

void Deployment::Stop() {
  if (stopping_.exchange(true)) return;
  if (supervisor_.joinable()) supervisor_.join();
  for (auto& machine : machines_) {
    if (machine.pid < 0) continue;
    ::kill(machine.pid, SIGKILL);
    ::waitpid(machine.pid, nullptr, 0);
    machine.pid = -1;
  }
}

}  // namespace wagtailpick::review
