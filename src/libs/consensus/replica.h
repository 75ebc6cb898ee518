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

/// Where a proposal stands in the log. It is accepted once an entry with this index and this term
/// comes out as committed, and lost once another term's entry comes out at this index.
struct Position {
  std::uint64_t index = 0;
  std::uint64_t term = 0;

  friend bool operator==(const Position&, const Position&) = default;
};

/// A change of one member. A replica is added as a learner, and made a voter by the leader once it
/// has caught up; a learner that takes the place of a lost disk needs no proposal.
struct MembershipChange {
  enum class Kind { kAdd, kRemove };
  Kind kind = Kind::kAdd;
  /// For `kAdd`, incarnation 0 admits whichever incarnation asks first.
  ReplicaKey replica;
};

/// One replica of the replicated log. Not thread-safe; it does no input or output.
///
/// A driver feeds any number of inputs (`Step`, `Tick`, `Propose`, `ProposeChange`), then calls
/// `ConsumeOutput` once and sends the messages, applies the committed entries, and writes and syncs
/// the batch. After the sync it calls `Synced` and goes on; after a failed one, `SyncFailed`. What
/// depends on unsynced records stays inside the replica until `Synced`, so no order of these steps
/// acknowledges a record that isn't on disk.
///
/// Each `now` must have been read after the input arrived at this process: leases and vote silence
/// rely on it. `Tick` is due every 10 to 20 ms.
class Replica {
 public:
  /// Starts with what the disk holds; an empty state makes a learner that asks for admission.
  /// Fails with `kInvalidArgument` on bad options and `kCorrupt` on a state that no replica wrote.
  static base::Result<Replica> Create(Options options, RecoveredState recovered,
                                      base::MonotonicTime now);
  /// The state to store on every disk of a new group before its first start. The names become
  /// voters with incarnation 1. Using it again for a disk that was lost breaks the agreement.
  static RecoveredState InitialState(const std::vector<std::string>& names);

  Replica(Replica&&) noexcept;
  Replica& operator=(Replica&&) noexcept;
  ~Replica();

  /// Handles a message from another replica. Malformed, stale and foreign ones are ignored.
  void Step(const Message& message, base::MonotonicTime now);
  void Tick(base::MonotonicTime now);

  /// Appends `data` to the log. Fails with `kUnavailable` when this replica isn't the leader or has
  /// stopped, and with `kLimitExceeded` when the data or the uncommitted backlog is too large.
  base::Result<Position> Propose(std::string data, base::MonotonicTime now);
  /// Appends a changed membership. Fails with `kUnavailable` as `Propose` does and also while an
  /// earlier change or the leader's first entry is uncommitted, with `kConflict` when the replica
  /// is a member already or the last voter, and with `kNotFound` when it is no member.
  base::Result<Position> ProposeChange(const MembershipChange& change, base::MonotonicTime now);
  /// Hands over the applied state as of `index`, the last applied entry or an earlier one, so that
  /// the log can be trimmed. Fails with `kInvalidArgument` for any other index.
  base::Result<void> TakeSnapshot(std::uint64_t index, std::string data);

  /// Adds names of replicas to ask for admission, as `Options::peers` does: a replica whose disk
  /// was lost knows no member, and may hear of the others only after its start.
  void AddPeers(const std::vector<std::string>& names);

  /// Returns all effects since the last call. Without `may_write` the records for the disk are left
  /// for a later call, which returns them as one batch: so a driver that is still writing the last
  /// batch keeps sending messages.
  Output ConsumeOutput(bool may_write = true);
  /// The batches up to `id` are written and synced.
  void Synced(std::uint64_t id, base::MonotonicTime now);
  /// A write or sync failed, so what the disk holds is unknown: the replica steps down and stays
  /// silent until it is created again from what can be read back.
  void SyncFailed();

  /// Whether this replica is the only one that can answer for the committed state: it leads, a
  /// quorum has heard it within the lease, and an entry of its own term was given out to apply.
  bool HasLease(base::MonotonicTime now) const;
  /// Whether a quorum has answered a heartbeat that this replica, as the leader that has given out
  /// an entry of its own term, sent later than `since`. A read that arrived at `since` sees then
  /// every entry that was committed before it, whatever other replicas' clocks do.
  bool LedSince(base::MonotonicTime since, base::MonotonicTime now) const;

  /// The leader as far as this replica knows, itself included.
  std::optional<ReplicaKey> LeaderHint() const;
  Role role() const;
  std::uint64_t term() const;
  std::uint64_t commit_index() const;
  std::uint64_t last_index() const;
  /// Index of the newest snapshot.
  std::uint64_t snapshot_index() const;
  /// The newest membership in the log, committed or not.
  const Membership& membership() const;
  /// Why the replica stopped, or nothing while it runs.
  const std::optional<base::Error>& fault() const;

 private:
  explicit Replica(std::unique_ptr<Core> core);

  std::unique_ptr<Core> core_;
};

}  // namespace wagtailpick::consensus
