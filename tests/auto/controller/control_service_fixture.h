#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "consensus/entry.h"
#include "controller/control_service.h"
#include "timeline/event_ring.h"

namespace wagtailpick::controller_test {

inline constexpr const char* kSelf = "127.0.0.1:1";
inline constexpr const char* kOther = "127.0.0.1:2";

/// Returns the signed bytes of a valid bundle.
std::string SignedBundleBytes();

/// The data folder of one replica; removed on destruction.
class ReplicaFolder {
 public:
  /// Prepares the folder for a new group of `members`.
  explicit ReplicaFolder(const std::vector<std::string>& members);
  ~ReplicaFolder();
  ReplicaFolder(const ReplicaFolder&) = delete;
  ReplicaFolder& operator=(const ReplicaFolder&) = delete;

  /// Stores log entries of term 1, from index 1 on.
  void StoreEntries(const std::vector<std::string>& data) const;
  /// Stores a snapshot of index 1 and term 1 that holds `data`.
  void StoreSnapshot(const std::string& data) const;
  replica::ReplicaDisk Open() const;
  /// Returns a folder with the present content of this one.
  ReplicaFolder Copy() const;
  /// Path of the folder that contains the data folder.
  const std::string& path() const { return root_; }

 private:
  ReplicaFolder(std::string root, std::vector<std::string> members);

  std::string root_;
  std::vector<std::string> members_;
};

/// The control service of one replica on a loop of its own, which ticks it.
class ControlServiceRunner {
 public:
  ControlServiceRunner(const ReplicaFolder& folder, const std::vector<std::string>& members);
  ~ControlServiceRunner() { loop_.Stop(); }
  ControlServiceRunner(const ControlServiceRunner&) = delete;
  ControlServiceRunner& operator=(const ControlServiceRunner&) = delete;

  /// The error with which the service could not be created; empty if it could.
  const std::string& error() const { return error_; }
  /// The status once this replica leads, waiting for at most 10 s.
  rpc::StatusReply WaitForStatus();
  rpc::RenewReply Renew();
  void Deliver(const rpc::ConsensusBatch& batch);

 private:
  base::EventLoop loop_{1'024};
  timeline::EventRing events_{"vm", 16};
  std::unique_ptr<controller::ControlService> service_;
  std::string error_;
};

}  // namespace wagtailpick::controller_test
