#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/dialer.h"
#include "node/node_options.h"
#include "placement/network_distance.h"

namespace wagtailpick::node {

/// Links from this process to every replica that it has heard of, starting from the seeds.
class ReplicaLinks {
 public:
  struct Hooks {
    std::function<cluster::Hello()> hello;
    std::function<cluster::Ping(const std::string& replica)> ping;
    std::function<void(const std::string& replica)> up;
    std::function<void(const std::string& replica)> down;
    std::function<void(const std::string& replica, const cluster::Message& message)> message;
  };

  /// `self` is this process's own address for links, which it doesn't dial; empty for an entry.
  ReplicaLinks(asio::io_context& loop, const NodeOptions& options, std::string self, Hooks hooks);

  /// Adds the replicas that aren't known yet.
  void AddReplicas(const std::vector<cluster::ReplicaAddress>& replicas);
  /// Adds the replicas at seeds that aren't known yet.
  void SetSeeds(const std::vector<base::Endpoint>& seeds, std::uint16_t cluster_port);
  /// Due every 100 to 250 ms. Forgets replicas that were down for long.
  void Tick(base::MonotonicTime now);

  bool Send(const std::string& replica, const cluster::Message& message);
  /// Sends to all replicas whose links are up; returns how many.
  std::size_t Broadcast(const cluster::Message& message);

  /// Pings all replicas now, so that they learn a change at once.
  void PingAll();

  std::size_t up_count() const;
  bool IsUp(const std::string& replica) const;
  /// How long the link to a replica has been down; zero while it is up.
  base::Duration DownFor(const std::string& replica, base::MonotonicTime now) const;
  /// The nearest replica whose link is up, the same one as long as it stays up; empty when there is
  /// none. Of several that are equally near, different VMs take different ones.
  std::string Nearest(const placement::NetworkDistance& network, const std::string& vm) const;

  int DistanceOf(const std::string& replica, const placement::NetworkDistance& network) const;

  /// All known replicas with the addresses at which they take orders, as far as known.
  std::vector<cluster::ReplicaAddress> replicas() const;
  /// Address at which a replica takes orders; empty when it isn't known.
  std::string ServiceAddress(const std::string& replica) const;

 private:
  struct Peer {
    std::string service_address;
    std::string data_centre;
    std::unique_ptr<cluster::Dialer> dialer;
  };

  void Add(const cluster::ReplicaAddress& replica);
  void HandleMessage(const std::string& replica, const cluster::Message& message);

  asio::io_context& loop_;
  std::string self_;
  std::set<std::string> seeds_;
  Hooks hooks_;
  std::map<std::string, Peer> peers_;
};

}  // namespace wagtailpick::node
