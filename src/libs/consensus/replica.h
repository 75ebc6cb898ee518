#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/monotonic_time.h"
#include "base/result.h"
#include "consensus/membership.h"
#include "consensus/message.h"
#include "consensus/options.h"
#include "consensus/output.h"

namespace wagtailpick::consensus {

class Core;

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

/// Returns the role's name in logs and answers.
std::string_view ToString(Role role);

/// Position of a proposal in the log. The proposal is accepted when an entry with this index and
/// term is committed, and lost when an entry of another term is committed at this index.
struct Position {
  std::uint64_t index = 0;
  std::uint64_t term = 0;

  friend bool operator==(const Position&, const Position&) = default;
};

/// A change of one member. A replica is added as a learner; the leader makes it a voter once it has
/// caught up. The replacement of a lost disk needs no proposal, as the replica asks by `kJoin`.
struct MembershipChange {
  enum class Kind { kAdd, kRemove };
  Kind kind = Kind::kAdd;
  /// For `kAdd`, incarnation 0 stands for the incarnation whose join request arrives first.
  ReplicaKey replica;
};

/// One replica of the replicated log. Not thread-safe; it does no input or output.
///
/// A driver feeds any number of inputs (`Step`, `Tick`, `Propose`, `ProposeChange`), then calls
/// `ConsumeOutput` once and sends the messages, applies the committed entries, and writes and syncs
/// the batch. It then calls `Synced`, or `SyncFailed` after a failure. The replica holds back what
/// depends on unsynced records until `Synced`, so a record that is not on disk is never
/// acknowledged, whatever the order of these steps.
///
/// Each `now` must have been read after the input arrived at this process, as leases and vote
/// silence rely on it. `Tick` must be called every 10 to 20 ms.
class Replica {
 public:
  /// Creates a replica from the state on its disk. With an empty state it is not a member and sends
  /// join requests. Fails with `kInvalidArgument` on invalid options and with `kCorrupt` on a state
  /// that no replica could have written.
  static base::Result<Replica> Create(Options options, RecoveredState recovered,
                                      base::MonotonicTime now);
  /// Returns the state to store on every disk of a new group before its first start. The names
  /// become voters with incarnation 1. Using it for the replacement of a lost disk can lose
  /// committed entries.
  static RecoveredState InitialState(const std::vector<std::string>& names);

  Replica(Replica&&) noexcept;
  Replica& operator=(Replica&&) noexcept;
  ~Replica();

  /// Handles a message from another replica. Malformed and outdated messages, and those meant for
  /// another replica, are ignored.
  void Step(const Message& message, base::MonotonicTime now);
  /// Handles timeouts and resends what is due.
  void Tick(base::MonotonicTime now);

  /// Appends `data` to the log. Fails with `kUnavailable` when this replica is not the leader or
  /// has stopped, and with `kLimitExceeded` when the data or the uncommitted backlog is too large.
  base::Result<Position> Propose(std::string data, base::MonotonicTime now);
  /// Appends a changed membership. Fails with `kUnavailable` as `Propose` does and also while an
  /// earlier change or the leader's first entry is uncommitted, with `kConflict` when the replica
  /// to add is a member already or the one to remove is the last voter, and with `kNotFound` when
  /// the replica to remove is not a member.
  base::Result<Position> ProposeChange(const MembershipChange& change, base::MonotonicTime now);
  /// Stores `data`, the applied state as of `index`, as the snapshot and trims the log. Fails with
  /// `kInvalidArgument` unless `index` is above the last snapshot's and was returned to apply.
  base::Result<void> TakeSnapshot(std::uint64_t index, std::string data);

  /// Adds names of replicas to send join requests to, like `Options::peers`. A replica whose disk
  /// was lost has no members in its log and may learn the other names only after its start.
  void AddPeers(const std::vector<std::string>& names);

  /// Returns all effects since the last call. Without `may_write` the records for the disk are kept
  /// and returned as one batch by a later call, so that a driver that is still writing the last
  /// batch can keep sending messages.
  Output ConsumeOutput(bool may_write = true);
  /// Reports that the batches up to `id` are written and synced.
  void Synced(std::uint64_t id, base::MonotonicTime now);
  /// Reports that a write or sync failed. As the content of the disk is then unknown, the replica
  /// stops; it has to be created again from what can be read back.
  void SyncFailed();
  /// Stops the replica for another fault of its driver, such as a snapshot that can't be read: it
  /// votes, acknowledges and applies nothing from then on.
  void Halt(base::Error fault);

  /// Whether this replica holds the leader lease and so may serve reads from its applied state: it
  /// is the leader, a quorum answered a message sent within `leader_lease`, and an entry of its own
  /// term was returned to apply.
  bool HasLease(base::MonotonicTime now) const;
  /// Whether this replica is the leader, has returned an entry of its own term to apply, and a
  /// quorum has answered a message that it sent later than `since`. A read that arrived at `since`
  /// then sees every entry that was committed before it, independently of the other replicas'
  /// clocks.
  bool LedSince(base::MonotonicTime since, base::MonotonicTime now) const;

  /// The leader that this replica follows, or itself while it leads; nothing when it has none.
  std::optional<ReplicaKey> LeaderHint() const;
  Role role() const;
  std::uint64_t term() const;
  std::uint64_t commit_index() const;
  std::uint64_t last_index() const;
  /// Index of the newest snapshot.
  std::uint64_t snapshot_index() const;
  /// The newest membership in the log, committed or not.
  const Membership& membership() const;
  /// The error that stopped the replica, or nothing while it runs.
  const std::optional<base::Error>& fault() const;

 private:
  explicit Replica(std::unique_ptr<Core> core);

  std::unique_ptr<Core> core_;
};

}  // namespace wagtailpick::consensus
