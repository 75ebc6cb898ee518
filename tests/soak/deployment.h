#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "harness/child.h"
#include "harness/work_folder.h"

namespace wagtailpick::soak {

/// The processes of one system, each on its own loopback address. Nodes are numbered from 0:
/// replicas first, then entries.
class Deployment {
 public:
  /// `network` is the second byte of the addresses, so that concurrent soaks use different ones.
  /// `grace` is the time that entries have between SIGTERM and SIGKILL.
  Deployment(std::string program, int network, std::size_t replicas, std::size_t entries,
             std::chrono::seconds grace);

  /// Creates empty disks and starts all processes, which form a new group.
  void StartAll();
  std::size_t size() const { return nodes_.size(); }
  std::size_t replica_count() const { return replica_count_; }
  bool IsReplica(std::size_t node) const { return node < replica_count_; }

  /// Starts a process; after `StartAll` it joins the existing group.
  void Start(std::size_t node);
  /// Sends `signal` to a process.
  void Signal(std::size_t node, int signal) const;
  /// Kills a process with SIGKILL and reaps it.
  void Kill(std::size_t node);
  /// Empties the data folder of a killed replica.
  void WipeDisk(std::size_t node) const;
  /// Exit code of a process, or the negated number of the signal that ended it; `nullopt` while it
  /// runs.
  std::optional<int> ExitCode(std::size_t node);

  /// Address at which `replica` accepts orders, as IP:PORT.
  std::string OrdersAddress(std::size_t replica) const;
  /// Address at which an entry accepts callers, as IP:PORT; `entry` counts entries only.
  std::string CallersAddress(std::size_t entry) const;
  /// Keeps the settings, disks and logs after destruction; the destructor prints their path.
  void KeepFolder() { folder_.Keep(); }

 private:
  struct Node {
    std::string name;
    std::string ip;
    std::string settings;
    std::unique_ptr<processes::Child> child;
  };

  std::string SettingsOf(std::size_t node, bool first_start) const;

  std::string program_;
  std::size_t replica_count_;
  std::chrono::seconds grace_;
  processes::WorkFolder folder_;
  std::vector<Node> nodes_;
};

}  // namespace wagtailpick::soak
