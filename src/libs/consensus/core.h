#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/log.h"
#include "consensus/progress.h"
#include "consensus/replica.h"
#include "consensus/snapshot_assembly.h"
#include "consensus/sync_tracker.h"

namespace wagtailpick::consensus {

/// The state machine behind `Replica`; see there for the meaning of the public functions.
class Core {
 public:
  Core(Options options, HardState hard_state, Snapshot snapshot, Log log, bool drop_log,
       base::MonotonicTime now);

  void Step(const Message& message, base::MonotonicTime now);
  void Tick(base::MonotonicTime now);
  base::Result<Position> Propose(std::string data, base::MonotonicTime now);
  base::Result<Position> ProposeChange(const MembershipChange& change, base::MonotonicTime now);
  base::Result<void> TakeSnapshot(std::uint64_t index, std::string data);
  void AddPeers(const std::vector<std::string>& names) {
    peers_.insert(names.begin(), names.end());
  }
  Output ConsumeOutput(bool may_write);
  void Synced(std::uint64_t id, base::MonotonicTime now);
  void Stop(base::ErrorCode code, std::string reason);

  bool HasLease(base::MonotonicTime now) const;
  bool LedSince(base::MonotonicTime since, base::MonotonicTime now) const;
  std::optional<ReplicaKey> LeaderHint() const;
  Role role() const { return role_; }
  std::uint64_t term() const { return hard_state_.term; }
  std::uint64_t commit_index() const { return commit_; }
  std::uint64_t last_index() const { return log_.last_index(); }
  std::uint64_t snapshot_index() const { return snapshot_.index; }
  const Membership& membership() const { return log_.membership(); }
  const std::optional<base::Error>& fault() const { return fault_; }

 private:
  // Dispatch and output (core.cpp).
  void AdvanceClock(base::MonotonicTime now);
  bool HasCurrentAddresses(const Message& message) const;
  bool MayRaiseTerm(const Message& message) const;
  void Dispatch(const Message& message);
  void ReplyWithTerm(const Message& message);
  Message MakeMessage(MessageKind kind, const ReplicaKey& to) const;
  void Send(Message message);
  void SendOnceSynced(Message message, std::uint64_t index);
  void EmitCommitted(Output& output);

  // Election (core_election.cpp).
  bool IsWithinVoteSilence() const;
  void ResetElectionTimer();
  void BecomeFollower(std::uint64_t term, std::optional<ReplicaKey> leader);
  void StartPreVote();
  void StartElection();
  void HandleVoteSynced();
  void BecomeLeader();
  void RequestVotes();
  void CountVote(const ReplicaKey& voter);
  bool IsUpToDate(const Message& request) const;
  void OnPreVote(const Message& message);
  void OnVote(const Message& message);
  void OnVoteReply(const Message& message);

  // Follower (core_follower.cpp).
  bool FollowLeader(const Message& message);
  bool Matches(const Message& message) const;
  std::uint64_t MatchHint(std::uint64_t index) const;
  bool Store(const std::vector<Entry>& entries);
  void OnAppend(const Message& message);
  void OnSnapshot(const Message& message);
  void Install(Snapshot snapshot);

  // Leader (core_leader.cpp).
  base::Result<void> CheckLeading() const;
  Position AppendAsLeader(EntryKind kind, std::string data);
  base::MonotonicTime QuorumAnsweredAt(base::MonotonicTime now) const;
  bool OwnDiskLags();
  void TickLeader();
  void OnAppendReply(const Message& message);
  void OnSnapshotReply(const Message& message);
  void AdvanceCommit();
  void SendEntries();
  void SendTo(const ReplicaKey& to, Progress& progress);
  bool SendAppend(const ReplicaKey& to, Progress& progress, bool with_entries);
  void SendSnapshotChunk(const ReplicaKey& to, Progress& progress);

  // Membership (core_membership.cpp).
  bool CanChangeMembership() const;
  Position AppendMembership(const Membership& membership);
  void UpdateProgress();
  void TickNonVoter();
  void SendJoinRequests();
  void OnJoin(const Message& message);
  void PromoteIfCaughtUp(const ReplicaKey& key, Progress& progress);

  const Options options_;
  const base::MonotonicTime started_at_;
  /// Names of replicas to send join requests to, besides the members in the log.
  std::set<std::string> peers_;
  HardState hard_state_;
  Snapshot snapshot_;
  Log log_;
  SyncTracker tracker_;
  SnapshotAssembly assembly_;
  std::optional<base::Error> fault_;
  base::MonotonicTime now_;

  Role role_ = Role::kFollower;
  std::optional<ReplicaKey> leader_;
  std::optional<base::MonotonicTime> leader_last_seen_;
  base::MonotonicTime election_due_;
  /// When to repeat heartbeats, vote requests or join requests, depending on the role.
  base::MonotonicTime resend_due_;
  std::set<ReplicaKey> votes_;

  std::uint64_t commit_;
  /// Highest index that was passed to the driver to apply, as an entry or within a snapshot.
  std::uint64_t emitted_ = 0;
  bool restore_pending_ = false;
  std::vector<Message> ready_messages_;

  // While leading.
  std::map<ReplicaKey, Progress> progress_;
  std::uint64_t term_start_index_ = 0;
  base::MonotonicTime elected_at_;
  base::MonotonicTime campaign_started_at_;
  /// Since when this leader's disk has lacked committed entries; empty while it lacks none.
  std::optional<base::MonotonicTime> disk_lags_since_;
  bool heartbeat_pending_ = false;
  std::size_t uncommitted_bytes_ = 0;
};

}  // namespace wagtailpick::consensus
