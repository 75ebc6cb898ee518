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

/// Keeps a link from this process to every known replica. The seeds are known at first; the
/// replicas send the addresses of the others. Not thread-safe.
class ReplicaLinks {
 public:
  struct Hooks {
    /// Builds the hello of this process.
    std::function<cluster::Hello()> hello;
    /// Builds the next ping to a replica. Replicas are named by their cluster addresses.
    std::function<cluster::Ping(const std::string& replica)> ping;
    /// The link to a replica has come up.
    std::function<void(const std::string& replica)> up;
    /// The link to a replica has gone down.
    std::function<void(const std::string& replica)> down;
    /// A message other than `cluster::Replicas` has arrived.
    std::function<void(const std::string& replica, const cluster::Message& message)> message;
  };

  /// `self` is this process's own cluster address, to which no link is opened; empty for an entry.
  ReplicaLinks(asio::io_context& loop, const NodeOptions& options, std::string self, Hooks hooks);

  /// Adds replicas, and completes the addresses and data centres of known ones.
  void AddReplicas(const std::vector<cluster::ReplicaAddress>& replicas);
  /// Replaces the seeds and adds the replicas at these addresses.
  void SetSeeds(const std::vector<base::Endpoint>& seeds, std::uint16_t cluster_port);
  /// Connects, pings and closes silent links; must be called every 100 to 250 ms. Removes replicas
  /// that are not seeds and have been down for a minute.
  void Tick(base::MonotonicTime now);

  /// Sends a message; returns false when the replica is unknown or not connected.
  bool Send(const std::string& replica, const cluster::Message& message);
  /// Sends a message to all replicas whose links are up; returns their number.
  std::size_t Broadcast(const cluster::Message& message);

  /// Pings all replicas at once, so that a change in the ping reaches them without delay.
  void PingAll();

  /// Number of replicas whose links are up.
  std::size_t up_count() const;
  bool IsUp(const std::string& replica) const;
  /// How long the link to a replica has been down: zero while it is up, `Duration::max()` when the
  /// replica is unknown.
  base::Duration DownFor(const std::string& replica, base::MonotonicTime now) const;
  /// Cluster address of the nearest replica whose link is up; empty when there is none. Of several
  /// at the same distance, the hash of the VM's name selects one, so that the VMs spread over them
  /// and each VM keeps its choice.
  std::string Nearest(const placement::NetworkDistance& network, const std::string& vm) const;

  /// Distance to a replica as a `placement::Distance`; smaller is nearer.
  int DistanceOf(const std::string& replica, const placement::NetworkDistance& network) const;

  /// All known replicas except this process; service address and data centre are empty where they
  /// are not known yet.
  std::vector<cluster::ReplicaAddress> replicas() const;
  /// Address at which a replica accepts orders; empty when it is not known.
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
