#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "consensus/replica.h"
#include "replica/disk_writer.h"
#include "replica/replica_disk.h"

namespace wagtailpick::replica {

/// Runs one consensus replica: feeds it messages and time, has written what it asks for, sends what
/// it says, and hands out committed entries. Used on one thread only.
class LogDriver {
 public:
  struct Hooks {
    /// Applies a committed entry's data. Entries without data come too, so that indexes follow.
    std::function<void(std::uint64_t index, const std::string& data)> apply;
    /// Replaces the applied state.
    std::function<void(const std::string& snapshot)> restore;
    /// Encodes the applied state.
    std::function<std::string()> snapshot;
    /// Sends messages to the replica called `to`. A lost message is made good by the next
    /// heartbeat.
    std::function<void(const std::string& to, const std::vector<consensus::Message>& messages)>
        send;
    /// Runs a task on the driver's thread after the inputs that are already queued; returns false
    /// when it can't, and then the next tick does the work. Called on any thread.
    std::function<bool(std::function<void()> task)> defer;
    /// Takes a membership that is committed.
    std::function<void(const consensus::Membership& members)> members;
  };

  /// Called once: with nothing when the proposal was applied, or with the error that its outcome is
  /// unknown or that it was refused.
  using ProposalCallback = std::function<void(base::Result<void>)>;

  /// `options` needs its random source; the replica's name and incarnation are filled in. Fails as
  /// `consensus::Replica::Create` does.
  static base::Result<std::unique_ptr<LogDriver>> Create(const std::string& self,
                                                         consensus::Options options,
                                                         ReplicaDisk disk, Hooks hooks);

  /// Options with the project's timings and a source of randomness.
  static consensus::Options DefaultOptions();

  ~LogDriver() { *alive_ = false; }
  LogDriver(const LogDriver&) = delete;
  LogDriver& operator=(const LogDriver&) = delete;

  /// Proposes an entry. `done` is called on the loop right after the entry was applied.
  void Propose(std::string data, ProposalCallback done);

  /// Proposes a change of one member; the outcome shows in the `members` hook.
  base::Result<void> ProposeChange(const consensus::MembershipChange& change);

  /// Adds names of replicas to ask for admission.
  void AddPeers(const std::vector<std::string>& names) { replica_.LearnPeers(names); }

  void Step(const std::vector<consensus::Message>& messages);
  void Tick();

  /// Whether this replica may answer for the committed state now.
  bool HasLease() const;
  /// Whether this replica led, with all earlier entries applied, at some instant after `since`: a
  /// quorum has answered a heartbeat that was sent later. Relies on no clock but its own.
  bool LedSince(base::MonotonicTime since) const;
  /// Address of the leader as far as it is known; empty otherwise.
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
  void FailPending();
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
  /// Tells tasks that were deferred whether this driver still exists.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  // Ends first, as its thread uses the hooks.
  DiskWriter writer_;
};

}  // namespace wagtailpick::replica
