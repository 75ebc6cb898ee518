#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/result.h"
#include "consensus/replica.h"
#include "controller/replica_disk.h"
#include "rpc/client.h"

namespace wagtailpick::controller {

/// Runs one consensus replica: feeds it messages and time, syncs what it asks for, sends what it
/// says, and hands out committed entries. Used on one loop only.
class LogDriver {
 public:
  struct Hooks {
    /// Applies a committed entry's data. Entries without data come too, so that indexes follow.
    std::function<void(std::uint64_t index, const std::string& data)> apply;
    /// Replaces the applied state.
    std::function<void(const std::string& snapshot)> restore;
    /// Encodes the applied state.
    std::function<std::string()> snapshot;
    /// Stamps an outgoing batch of messages.
    std::function<void(rpc::ConsensusBatch&)> stamp;
    /// Takes a membership that is committed.
    std::function<void(const consensus::Membership& members)> members;
  };

  /// Called once: with nothing when the proposal was applied, or with the error that its outcome is
  /// unknown or that it was refused.
  using Proposed = std::function<void(base::Result<void>)>;

  /// `peers` are the addresses of all replicas, which are their names as well. Fails as
  /// `consensus::Replica::Create` does.
  static base::Result<std::unique_ptr<LogDriver>> Create(const std::string& self,
                                                         const std::vector<std::string>& peers,
                                                         ReplicaDisk disk, base::EventLoop& loop,
                                                         Hooks hooks);

  /// Proposes an entry. `done` is called on the loop right after the entry was applied.
  void Propose(std::string data, Proposed done);

  void Step(const rpc::ConsensusBatch& batch);
  void Tick();

  /// Whether this replica may answer for the committed state now.
  bool HasLease() const;
  /// Address of the leader as far as it is known; empty otherwise.
  std::string leader() const;
  const consensus::Replica& replica() const { return replica_; }

 private:
  LogDriver(std::string self, ReplicaDisk disk, base::EventLoop& loop, Hooks hooks,
            consensus::Replica replica);

  void ScheduleFlush();
  void Flush();
  void Send(const std::vector<consensus::Message>& messages);
  void Apply(const consensus::Output& output);
  void TakeMembers(const std::string& data);
  void SettlePending(const consensus::Entry& entry);
  void FailPending();
  void TakeSnapshotWhenDue();

  struct Pending {
    std::uint64_t term = 0;
    Proposed done;
  };

  std::string self_;
  ReplicaDisk disk_;
  base::EventLoop& loop_;
  Hooks hooks_;
  consensus::Replica replica_;
  std::map<std::string, std::unique_ptr<rpc::Client>> peers_;
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t applied_ = 0;
  bool flush_scheduled_ = false;
};

}  // namespace wagtailpick::controller
