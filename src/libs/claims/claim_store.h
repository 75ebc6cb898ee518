#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "claims/claim_messages.h"
#include "claims/claim_table.h"
#include "claims/tombstones.h"

namespace wagtailpick::claims {

/// Limits of a replica's claims. The defaults are those of the design page.
struct StoreLimits {
  std::size_t max_keys = 500'000;
  /// How long a claim is kept after it was made.
  WallMillis retention_ms = 24LL * 3600 * 1000;
  std::size_t max_trials = 20'000;
  WallMillis trial_retention_ms = 600'000;
  /// Larger answers are not stored.
  std::size_t max_answer_bytes = 65'536;
  /// While the store keeps this many tombstones, no further key is freed. 50,000 allow 800 releases
  /// per second and take about 12 MB.
  std::size_t max_tombstones = 50'000;
  /// How long a release is remembered. Longer than the longest deadline of a request (10 s) plus
  /// the clock skew: a claim that arrives after that is refused because of its deadline.
  WallMillis tombstone_ms = 60'000;
};

/// Identifies a replica and its current disk.
struct ReplicaIdentity {
  ReplicaIndex index = 0;
  Incarnation incarnation = 1;
};

/// Effect of an operation on a `ClaimStore`.
struct Mutation {
  /// Record to write and sync; empty when nothing changed.
  std::optional<Record> record;
  /// The reply may be sent once this many of the records returned by the store are synced.
  std::uint64_t sync_before_reply = 0;
  /// False when nothing was stored, for example because another attempt holds the key, there is no
  /// room, or a copied record changes nothing.
  bool applied = false;
};

/// Result of `ClaimStore::Claim`.
struct ClaimOutcome {
  ClaimReply reply;
  Mutation mutation;
};

/// The claims of one replica. Each change is returned as a record, which the caller has to sync
/// before it sends the reply. The records are counted in the order in which they are returned;
/// those passed to `Recover` are not counted.
class ClaimStore {
 public:
  /// Creates an empty store that accepts no claims until `MarkReady` or `Recover`.
  ClaimStore(const StoreLimits& limits, const ReplicaIdentity& identity);

  /// Rebuilds the state from synced records, given in the order in which they were returned. Each
  /// record with a stored answer must have its `answer_position` set.
  void Recover(const std::vector<Record>& records, WallMillis now);

  /// Holds the key for the attempt, or returns why it cannot.
  ClaimOutcome Claim(const ClaimRequest& request, WallMillis now);

  /// Stores the answer of an attempt that ran. Not applied when another attempt ran, or when the
  /// key is unknown and there is no room.
  Mutation Complete(const CompleteRequest& request, WallMillis now);

  /// Frees the key if the attempt holds it and has not run. Refuses later claims of the attempt; if
  /// `refused_at` is set, also those of all attempts that started before that time. Not applied
  /// when there is no room for a tombstone.
  Mutation Release(const ReleaseRequest& request, WallMillis now);

  /// Sets the position of the stored answer of a completed claim. Until then the claim is reported
  /// as held. Call this again when a compaction has moved the answer.
  void SetAnswerPosition(Table table, const KeyDigest& key, const AttemptId& attempt,
                         std::uint64_t position);

  /// Fences off the incarnations of `replica` before `incarnation`: from now on replies contain the
  /// new one, so that votes of the earlier ones no longer count.
  Mutation Fence(ReplicaIndex replica, Incarnation incarnation);

  /// Applies a record copied from another replica. Returns no record if it changes nothing.
  Mutation ApplyCopied(Record record, WallMillis now);

  /// Starts to accept claims. Call this after a copy, or at the first start of a replica that never
  /// lost its disk. `Recover` has the same effect if the records include it.
  Mutation MarkReady();

  /// Calls `visit` for each record that is needed to recover the current state.
  void ForEachLive(WallMillis now, const std::function<void(const Record&)>& visit) const;

  /// Removes expired claims and tombstones. An expired claim is also removed when its key is looked
  /// up, and when there is no room for a new one.
  void Expire(WallMillis now);

  /// Returns the keys of all claims in `table`, in no particular order.
  std::vector<KeyDigest> keys(Table table) const;
  /// Appends the records of all claims for `key` that have not expired.
  void AppendRecords(Table table, const KeyDigest& key, WallMillis now,
                     std::vector<Record>& out) const;
  /// Appends the records of all releases that are still remembered.
  void AppendTombstones(WallMillis now, std::vector<Record>& out) const;

  /// True when the store accepts claims.
  bool ready() const { return ready_; }
  const ReplicaIdentity& identity() const { return identity_; }
  /// Highest known incarnation of each replica.
  const Incarnations& known() const { return known_; }
  /// Number of keys in `table`.
  std::size_t size(Table table) const;
  /// Number of releases that are remembered.
  std::size_t tombstones() const { return tombstones_.size(); }

 private:
  ClaimTable& TableOf(Table table) { return table == Table::kRequests ? requests_ : trials_; }
  const ClaimTable& TableOf(Table table) const {
    return table == Table::kRequests ? requests_ : trials_;
  }
  /// Applies a record to the state; returns false if it changes nothing.
  bool Apply(const Record& record, WallMillis now);
  /// Returns `kAccepted` or why the claim is refused, regardless of a present holder of the key.
  ClaimStatus CheckClaim(const ClaimRequest& request, WallMillis now) const;
  Mutation AddClaim(const ClaimRequest& request, WallMillis now);
  /// Returns a mutation with a new record to sync.
  Mutation EmitRecord(Record record);
  /// Returns `now`, but never less than in an earlier call.
  WallMillis Advance(WallMillis now);

  StoreLimits limits_;
  ReplicaIdentity identity_;
  ClaimTable requests_;
  ClaimTable trials_;
  Tombstones tombstones_;
  Incarnations known_;
  WallMillis now_ = 0;
  /// Number of records returned so far.
  std::uint64_t emitted_records_ = 0;
  bool ready_ = false;
};

}  // namespace wagtailpick::claims
