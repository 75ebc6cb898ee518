#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/result.h"
#include "consensus/replica.h"
#include "replica/disk_writer.h"
#include "replica/replica_disk.h"

namespace wagtailpick::replica {

/// Runs one consensus replica: passes it messages and time, writes its records to disk, sends its
/// messages and applies committed entries. Not thread-safe: all calls must come from one thread,
/// on which the hooks run too, except `defer`.
class LogDriver {
 public:
  struct Hooks {
    /// Applies the data of a committed entry. Indexes rise but need not be consecutive, as other
    /// kinds of entry are not passed.
    std::function<void(std::uint64_t index, const std::string& data)> apply;
    /// Replaces the applied state by a snapshot. Calls `Halt` if it can't be read.
    std::function<void(const std::string& snapshot)> restore;
    /// Encodes the applied state as a snapshot.
    std::function<std::string()> snapshot;
    /// Sends messages to the replica named `to`. They may be lost: the next heartbeat makes up for
    /// it.
    std::function<void(const std::string& to, const std::vector<consensus::Message>& messages)>
        send;
    /// Queues a task on the driver's thread, behind the inputs that are queued already. Returns
    /// false when it cannot; the next `Tick` does the work then. Called from any thread.
    std::function<bool(std::function<void()> task)> defer;
    /// A membership was committed.
    std::function<void(const consensus::Membership& members)> members;
  };

  /// Called once: with success when the entry was applied, else with an error. `kUnavailable` is
  /// also used when this replica has lost the lead and the outcome is unknown.
  using ProposalCallback = std::function<void(base::Result<void>)>;

  /// `options.random` must be set; `options.self` is filled in from `self` and the disk. Fails as
  /// `consensus::Replica::Create` does.
  static base::Result<std::unique_ptr<LogDriver>> Create(const std::string& self,
                                                         consensus::Options options,
                                                         ReplicaDisk disk, Hooks hooks);

  /// Returns the default options with a source of randomness.
  static consensus::Options DefaultOptions();

  ~LogDriver() { *alive_ = false; }
  LogDriver(const LogDriver&) = delete;
  LogDriver& operator=(const LogDriver&) = delete;

  /// Proposes an entry. `done` is called right after the entry was applied, or at once with the
  /// error of `consensus::Replica::Propose`.
  void Propose(std::string data, ProposalCallback done);

  /// Proposes a change of one member. Fails as `consensus::Replica::ProposeChange` does; otherwise
  /// the `members` hook reports the committed membership.
  base::Result<void> ProposeChange(const consensus::MembershipChange& change);

  /// Adds names of replicas that are asked to admit this one to the group.
  void AddPeers(const std::vector<std::string>& names) { replica_.AddPeers(names); }

  /// Stops the replica, as its owner can't apply what was committed: it votes, acknowledges and
  /// applies nothing from then on and takes no snapshot. It has to be created again.
  void Halt(base::Error fault) { replica_.Halt(std::move(fault)); }

  /// Handles messages from other replicas.
  void Step(const std::vector<consensus::Message>& messages);
  /// Handles timeouts; must be called every 10 to 20 ms.
  void Tick();

  /// Calls the callbacks of all proposals that are not applied yet with `kUnavailable`.
  void FailPending();

  /// Whether this replica leads and its lease is valid, so that it may answer reads from the
  /// committed state.
  bool HasLease() const;
  /// Whether this replica led, with all earlier entries applied, at some time after `since`: a
  /// quorum has answered a heartbeat that was sent later. Uses only this process's clock.
  bool LedSince(base::MonotonicTime since) const;
  /// Name of the leader; empty while it is unknown.
  std::string leader() const;
  const consensus::Replica& replica() const { return replica_; }

 private:
  LogDriver(ReplicaDisk disk, Hooks hooks, consensus::Replica replica);

  void ScheduleFlush();
  bool Defer();
  void Flush();
  void HandleWriteResult();
  void Send(const std::vector<consensus::Message>& messages);
  void Apply(const consensus::Output& output);
  void HandleMembershipEntry(const std::string& data);
  void CompletePending(const consensus::Entry& entry);
  void TakeSnapshotWhenDue();

  struct Pending {
    std::uint64_t term = 0;
    ProposalCallback done;
  };

  Hooks hooks_;
  consensus::Replica replica_;
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t applied_ = 0;
  bool flush_scheduled_ = false;
  /// False once this driver is destroyed; deferred tasks then do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  // Declared last and so destroyed first, as its thread uses the hooks.
  DiskWriter writer_;
};

}  // namespace wagtailpick::replica
