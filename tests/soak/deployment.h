#pragma once

#include <memory>
#include <string>
#include <vector>

#include "harness/child.h"
#include "harness/work_folder.h"

namespace wagtailpick::soak {

/// The processes of one system on loopback addresses of their own.
class Deployment {
 public:
  /// `network` is the second byte of the addresses, so that several soaks don't meet.
  Deployment(std::string program, int network, std::size_t replicas, std::size_t entries);

  void StartAll();
  std::size_t size() const { return nodes_.size(); }
  std::size_t replica_count() const { return replica_count_; }
  bool IsReplica(std::size_t node) const { return node < replica_count_; }

  void Start(std::size_t node);
  void Signal(std::size_t node, int signal) const;
  void Kill(std::size_t node);
  /// Empties the disk of a killed replica.
  void WipeDisk(std::size_t node) const;
  /// Whether the process has ended by itself.
  bool HasEnded(std::size_t node);

  std::string OrdersAddress(std::size_t replica) const;
  std::string CallersAddress(std::size_t entry) const;
  /// Leaves the processes' settings, disks and logs where they are, and prints the path.
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
  processes::WorkFolder folder_;
  std::vector<Node> nodes_;
};

}  // namespace wagtailpick::soak
