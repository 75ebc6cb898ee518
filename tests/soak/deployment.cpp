#include "soak/deployment.h"

#include <csignal>
#include <utility>

namespace wagtailpick::soak {
namespace {

constexpr int kClusterPort = 17'720;
constexpr int kOrdersPort = 17'721;
constexpr int kDirectoryPort = 17'722;
constexpr int kCallersPort = 17'723;
constexpr int kReadinessPort = 17'724;
constexpr std::size_t kSeeds = 3;

std::string At(const std::string& ip, int port) { return ip + ":" + std::to_string(port); }

}  // namespace

Deployment::Deployment(std::string program, int network, std::size_t replicas, std::size_t entries,
                       std::chrono::seconds grace)
    : program_(std::move(program)), replica_count_(replicas), grace_(grace) {
  for (std::size_t i = 0; i < replicas + entries; ++i) {
    Node node;
    node.name = (i < replicas ? "replica-" : "entry-") + std::to_string(i);
    node.ip = "127." + std::to_string(network) + ".0." + std::to_string(10 + i);
    nodes_.push_back(std::move(node));
  }
}

std::string Deployment::SettingsOf(std::size_t node, bool first_start) const {
  const auto& self = nodes_[node];
  std::string seeds;
  for (std::size_t i = 0; i < std::min(kSeeds, replica_count_); ++i) {
    seeds += (i == 0 ? "" : ",") + At(nodes_[i].ip, kOrdersPort);
  }
  std::string text = "[node]\nrole = ";
  text += IsReplica(node) ? "control" : "entry";
  text += "\nvm = " + self.name + "\ndata_centre = dc-" + std::to_string(node % 2) +
          "\nregions = dc-0:east,dc-1:west\nip = " + self.ip +
          "\ncluster_port = " + std::to_string(kClusterPort) + "\nseeds = " + seeds + "\n";
  if (IsReplica(node)) {
    return text + "[control]\norders = " + At(self.ip, kOrdersPort) +
           "\ndirectory = " + At(self.ip, kDirectoryPort) +
           "\ndata_folder = " + folder_.Path(self.name) +
           "\nfirst_start = " + (first_start ? "true" : "false") + "\n";
  }
  return text + "[entry]\ncallers = " + At(self.ip, kCallersPort) +
         "\nreadiness = " + At(self.ip, kReadinessPort) +
         "\ngrace_s = " + std::to_string(grace_.count()) + "\nretry_slack = 200\n";
}

void Deployment::StartAll() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (IsReplica(i)) folder_.MakeEmpty(nodes_[i].name);
    nodes_[i].settings = folder_.Write(nodes_[i].name + ".ini", SettingsOf(i, true));
    Start(i);
  }
  // Processes that are started again join the group that the first starts formed.
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].settings = folder_.Write(nodes_[i].name + "-again.ini", SettingsOf(i, false));
  }
}

void Deployment::Start(std::size_t node) {
  auto& self = nodes_[node];
  self.child = std::make_unique<processes::Child>(
      std::vector<std::string>{program_, "--config=" + self.settings},
      folder_.Path(self.name + ".out"), folder_.Path(self.name + ".err"));
}

void Deployment::Signal(std::size_t node, int signal) const { nodes_[node].child->Signal(signal); }

void Deployment::Kill(std::size_t node) { nodes_[node].child->Kill(); }

void Deployment::WipeDisk(std::size_t node) const { folder_.MakeEmpty(nodes_[node].name); }

std::optional<int> Deployment::ExitCode(std::size_t node) { return nodes_[node].child->TryReap(); }

std::string Deployment::OrdersAddress(std::size_t replica) const {
  return At(nodes_[replica].ip, kOrdersPort);
}

std::string Deployment::CallersAddress(std::size_t entry) const {
  return At(nodes_[replica_count_ + entry].ip, kCallersPort);
}

}  // namespace wagtailpick::soak
