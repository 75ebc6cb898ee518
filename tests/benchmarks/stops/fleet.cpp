#include "stops/fleet.h"

#include <algorithm>
#include <csignal>
#include <sstream>
#include <utility>

namespace wagtailpick::stops {
namespace {

constexpr int kClusterPort = 17'740;
constexpr int kOrdersPort = 17'741;
constexpr int kDirectoryPort = 17'742;
constexpr int kCallersPort = 17'743;
constexpr int kReadinessPort = 17'744;
constexpr std::size_t kSeeds = 3;

std::string At(const std::string& ip, int port) { return ip + ":" + std::to_string(port); }

}  // namespace

Fleet::Fleet(std::string program, int network, std::size_t replicas, std::size_t entries)
    : program_(std::move(program)), replicas_(replicas) {
  for (std::size_t i = 0; i < replicas + entries; ++i) {
    Process process;
    process.replica = i < replicas;
    process.name = (process.replica ? "replica-" : "entry-") + std::to_string(i);
    process.ip = "127." + std::to_string(network) + ".0." + std::to_string(10 + i);
    processes_.push_back(std::move(process));
  }
}

std::string Fleet::Settings(const Process& process, bool first_start) const {
  std::string seeds;
  for (std::size_t i = 0; i < std::min(kSeeds, replicas_); ++i) {
    seeds += (i == 0 ? "" : ",") + At(processes_[i].ip, kOrdersPort);
  }
  const auto position = static_cast<std::size_t>(&process - processes_.data());
  std::string text = "[node]\nrole = ";
  text += process.replica ? "control" : "entry";
  text += "\nvm = " + process.name + "\ndata_centre = dc-" + std::to_string(position % 2) +
          "\nregions = dc-0:east,dc-1:west\nip = " + process.ip +
          "\ncluster_port = " + std::to_string(kClusterPort) + "\nseeds = " + seeds + "\n";
  if (process.replica) {
    return text + "[control]\norders = " + At(process.ip, kOrdersPort) +
           "\ndirectory = " + At(process.ip, kDirectoryPort) +
           "\ndata_folder = " + folder_.Path(process.name) +
           "\nfirst_start = " + (first_start ? "true" : "false") + "\n";
  }
  return text + "[entry]\ncallers = " + At(process.ip, kCallersPort) +
         "\nreadiness = " + At(process.ip, kReadinessPort) +
         "\ngrace_s = " + std::to_string(base::ToSeconds(kGrace)) +
         "\ncold_factor = 1.5\ncold_slack = 5\nretry_ratio = 0.2\nretry_slack = 58\n";
}

void Fleet::StartAll() {
  for (auto& process : processes_) {
    if (process.replica) folder_.MakeEmpty(process.name);
    Start(process, true);
  }
}

void Fleet::Start(Process& process, bool first_start) {
  const auto settings = folder_.Write(process.name + ".ini", Settings(process, first_start));
  process.child = std::make_unique<processes::Child>(
      std::vector<std::string>{program_, "--config=" + settings},
      folder_.Path(process.name + ".out"), folder_.Path(process.name + ".err"));
  process.started_at = base::MonotonicNow();
  process.stop.reset();
  process.paused = false;
}

void Fleet::StopEntry(std::size_t entry, const Pause& pause) {
  auto& process = processes_[replicas_ + entry];
  if (process.stop) return;
  process.stop = stops_.size();
  stops_.push_back({entry, base::MonotonicNow(), std::nullopt, false});
  process.pause = pause;
  if (pause.start == base::Duration::zero()) PollPause(process, base::Duration::zero());
  process.child->Signal(SIGTERM);
}

void Fleet::Poll() {
  const auto now = base::MonotonicNow();
  for (auto& process : processes_) {
    if (process.child->TryReap()) {
      HandleEnd(process, now);
      continue;
    }
    if (!process.stop) continue;
    const auto since_signal = now - stops_[*process.stop].signalled_at;
    PollPause(process, since_signal);
    if (since_signal < kGrace) continue;
    stops_[*process.stop].killed = true;
    process.child->Kill();
    HandleEnd(process, base::MonotonicNow());
  }
}

void Fleet::PollPause(Process& process, base::Duration since_signal) {
  const auto& pause = process.pause;
  const bool wanted = since_signal >= pause.start && since_signal < pause.start + pause.length;
  if (wanted == process.paused) return;
  process.paused = wanted;
  process.child->Signal(wanted ? SIGSTOP : SIGCONT);
}

void Fleet::HandleEnd(Process& process, base::MonotonicTime now) {
  if (process.stop) {
    stops_[*process.stop].ended_at = now;
  } else {
    ++unexpected_ends_;
    KeepFolder();
  }
  Start(process, false);
}

bool Fleet::HasRunFor(std::size_t entry, base::Duration time) const {
  const auto& process = processes_[replicas_ + entry];
  return !process.stop && base::MonotonicNow() - process.started_at >= time;
}

std::vector<std::string> Fleet::OrdersAddresses() const {
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < replicas_; ++i) {
    addresses.push_back(At(processes_[i].ip, kOrdersPort));
  }
  return addresses;
}

std::vector<std::string> Fleet::DirectoryAddresses() const {
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < replicas_; ++i) {
    addresses.push_back(At(processes_[i].ip, kDirectoryPort));
  }
  return addresses;
}

std::string Fleet::CallersAddress(std::size_t entry) const {
  return At(processes_[replicas_ + entry].ip, kCallersPort);
}

std::vector<std::string> Fleet::LogLines(std::size_t entry, const std::string& text) const {
  std::istringstream log(folder_.Read(processes_[replicas_ + entry].name + ".out"));
  std::vector<std::string> lines;
  for (std::string line; std::getline(log, line);) {
    if (line.find(text) != std::string::npos) lines.push_back(line);
  }
  return lines;
}

}  // namespace wagtailpick::stops
