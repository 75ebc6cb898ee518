#include "node/replica_links.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "logging/log.h"

namespace wagtailpick::node {
namespace {

/// Replicas that are not seeds are removed after this time: a replica that was replaced never comes
/// back under its old address.
constexpr base::Duration kRemoveDownReplicaAfter = std::chrono::seconds(60);

}  // namespace

ReplicaLinks::ReplicaLinks(asio::io_context& loop, const NodeOptions& options, std::string self,
                           Hooks hooks)
    : loop_(loop), self_(std::move(self)), hooks_(std::move(hooks)) {
  SetSeeds(options.seeds, options.cluster_port);
}

void ReplicaLinks::SetSeeds(const std::vector<base::Endpoint>& seeds, std::uint16_t cluster_port) {
  seeds_.clear();
  for (const auto& seed : seeds) {
    const std::string address = base::ToString({seed.address, cluster_port});
    seeds_.insert(address);
    Add({address, base::ToString(seed), {}});
  }
}

void ReplicaLinks::AddReplicas(const std::vector<cluster::ReplicaAddress>& replicas) {
  for (const auto& replica : replicas) Add(replica);
}

void ReplicaLinks::Add(const cluster::ReplicaAddress& replica) {
  const std::string address = replica.cluster_address;
  if (address == self_) return;
  const auto known = peers_.find(address);
  if (known != peers_.end()) {
    if (!replica.service_address.empty()) known->second.service_address = replica.service_address;
    if (!replica.data_centre.empty()) known->second.data_centre = replica.data_centre;
    return;
  }
  const auto endpoint = base::ParseEndpoint(address);
  if (!endpoint) return;
  cluster::Dialer::Hooks hooks;
  hooks.hello = hooks_.hello;
  hooks.ping = [this, address] { return hooks_.ping(address); };
  hooks.up = [this, address] {
    logging::Write(logging::Level::kInfo, "replica_reached", address);
    hooks_.up(address);
  };
  hooks.down = [this, address](const std::string& reason) {
    logging::Write(logging::Level::kWarning, "replica_lost", address, {{"reason", reason}});
    hooks_.down(address);
  };
  hooks.message = [this, address](const cluster::Message& message) {
    HandleMessage(address, message);
  };
  peers_[address] = {replica.service_address, replica.data_centre,
                     std::make_unique<cluster::Dialer>(loop_, endpoint.value(), std::move(hooks))};
}

void ReplicaLinks::HandleMessage(const std::string& replica, const cluster::Message& message) {
  if (const auto* known = std::get_if<cluster::Replicas>(&message)) {
    return AddReplicas(known->replicas);
  }
  hooks_.message(replica, message);
}

void ReplicaLinks::Tick(base::MonotonicTime now) {
  for (auto& [address, peer] : peers_) peer.dialer->Tick(now);
  std::erase_if(peers_, [&](const auto& item) {
    return !item.second.dialer->up() && !seeds_.contains(item.first) &&
           now - item.second.dialer->down_since() > kRemoveDownReplicaAfter;
  });
}

bool ReplicaLinks::Send(const std::string& replica, const cluster::Message& message) {
  const auto found = peers_.find(replica);
  return found != peers_.end() && found->second.dialer->Send(message);
}

std::size_t ReplicaLinks::Broadcast(const cluster::Message& message) {
  return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](auto& item) {
    return item.second.dialer->up() && item.second.dialer->Send(message);
  }));
}

void ReplicaLinks::PingAll() {
  for (auto& [address, peer] : peers_) peer.dialer->Send(hooks_.ping(address));
}

std::size_t ReplicaLinks::up_count() const {
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(), [](const auto& item) { return item.second.dialer->up(); }));
}

bool ReplicaLinks::IsUp(const std::string& replica) const {
  const auto found = peers_.find(replica);
  return found != peers_.end() && found->second.dialer->up();
}

base::Duration ReplicaLinks::DownFor(const std::string& replica, base::MonotonicTime now) const {
  const auto found = peers_.find(replica);
  if (found == peers_.end()) return base::Duration::max();
  if (found->second.dialer->up()) return base::Duration::zero();
  return std::max(now - found->second.dialer->down_since(), base::Duration(1));
}

std::string ReplicaLinks::Nearest(const placement::NetworkDistance& network,
                                  const std::string& vm) const {
  const auto order = [&](const std::string& address, const Peer& peer) {
    return std::make_pair(network.DistanceTo(peer.data_centre),
                          std::hash<std::string>()(vm + address));
  };
  const std::pair<const std::string, Peer>* best = nullptr;
  for (const auto& item : peers_) {
    if (!item.second.dialer->up()) continue;
    const bool nearer =
        best == nullptr || order(item.first, item.second) < order(best->first, best->second);
    if (nearer) best = &item;
  }
  return best == nullptr ? std::string() : best->first;
}

int ReplicaLinks::DistanceOf(const std::string& replica,
                             const placement::NetworkDistance& network) const {
  const auto found = peers_.find(replica);
  const std::string data_centre = found == peers_.end() ? std::string() : found->second.data_centre;
  return static_cast<int>(network.DistanceTo(data_centre));
}

std::vector<cluster::ReplicaAddress> ReplicaLinks::replicas() const {
  std::vector<cluster::ReplicaAddress> list;
  for (const auto& [address, peer] : peers_) {
    list.push_back({address, peer.service_address, peer.data_centre});
  }
  return list;
}

std::string ReplicaLinks::ServiceAddress(const std::string& replica) const {
  const auto found = peers_.find(replica);
  return found == peers_.end() ? std::string() : found->second.service_address;
}

}  // namespace wagtailpick::node
