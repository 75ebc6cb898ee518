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

/// Bounds of a replica's claims. The defaults are the design page's.
struct StoreLimits {
  std::size_t max_keys = 500'000;
  WallMillis retention_ms = 24LL * 3600 * 1000;
  std::size_t max_trials = 20'000;
  WallMillis trial_retention_ms = 600'000;
  std::size_t max_answer_bytes = 65'536;
  /// A store with this many recent releases frees no further key: 50,000 are 800 releases a second
  /// and take about 12 MB.
  std::size_t max_tombstones = 50'000;
  /// Longer than a request's longest deadline (10 s) plus the difference between wall clocks: after
  /// that a late claim is refused for its deadline.
  WallMillis tombstone_ms = 60'000;
};

/// Which replica this is, and which of its disks.
struct ReplicaIdentity {
  ReplicaIndex index = 0;
  Incarnation incarnation = 1;
};

/// What a mutation changed and when it may be answered.
struct Mutation {
  /// Set when something changed and has to be synced.
  std::optional<Record> record;
  /// The reply may be sent once this many of the records that this store handed out are synced.
  std::uint64_t sync_before_reply = 0;
  /// False when nothing was stored: the key is held by another attempt, or there is no room.
  bool applied = false;
};

struct ClaimOutcome {
  ClaimReply reply;
  Mutation mutation;
};

/// The claims of one replica. Records count in the order in which they are handed out; what
/// `Recover` takes doesn't count.
class ClaimStore {
 public:
  ClaimStore(const StoreLimits& limits, const ReplicaIdentity& identity);

  /// Rebuilds the state from synced records, in the order in which they were handed out. A record
  /// with an answer has its `answer_position` set.
  void Recover(const std::vector<Record>& records, WallMillis now);

  /// Holds the key for the attempt, or says what stands in the way.
  ClaimOutcome Claim(const ClaimRequest& request, WallMillis now);

  /// Stores the answer of an attempt that ran.
  Mutation Complete(const CompleteRequest& request, WallMillis now);

  /// Frees the key if the attempt holds it, and refuses the attempt's later claims; with
  /// `refused_at` also those of all attempts that started earlier.
  Mutation Release(const ReleaseRequest& request, WallMillis now);

  /// Tells where the answer of a completed claim is stored; until then it isn't replayed. Also used
  /// after a compaction has moved it.
  void SetAnswerPosition(Table table, const KeyDigest& key, const AttemptId& attempt,
                         std::uint64_t position);

  /// Takes note of a replica's new incarnation; replies show it from then on.
  Mutation Fence(ReplicaIndex replica, Incarnation incarnation);

  /// Takes in a record copied from another replica. There is no record to sync when it says nothing
  /// new.
  Mutation Absorb(Record record, WallMillis now);

  /// Accepts claims from now on. For the end of a copy, and for the first start of a replica whose
  /// disk was never lost; `Recover` does the same when it finds the record.
  Mutation MarkReady();

  /// Calls `visit` for every live record; a log that holds just these recovers the same state.
  void ForEachLive(WallMillis now, const std::function<void(const Record&)>& visit) const;

  /// Drops expired claims. Claims are also dropped when touched and when there is no room.
  void Expire(WallMillis now);

  std::vector<KeyDigest> keys(Table table) const;
  void AppendRecords(Table table, const KeyDigest& key, WallMillis now,
                     std::vector<Record>& out) const;
  void AppendTombstones(WallMillis now, std::vector<Record>& out) const;

  bool ready() const { return ready_; }
  const ReplicaIdentity& identity() const { return identity_; }
  const Incarnations& known() const { return known_; }
  std::size_t size(Table table) const;
  std::size_t tombstones() const { return tombstones_.size(); }

 private:
  ClaimTable& TableOf(Table table) { return table == Table::kRequests ? requests_ : trials_; }
  const ClaimTable& TableOf(Table table) const {
    return table == Table::kRequests ? requests_ : trials_;
  }
  bool Apply(const Record& record, WallMillis now);
  ClaimStatus MayAccept(const ClaimRequest& request, WallMillis now) const;
  Mutation AddClaim(const ClaimRequest& request, WallMillis now);
  Mutation HandOut(Record record);
  WallMillis Advance(WallMillis now);

  StoreLimits limits_;
  ReplicaIdentity identity_;
  ClaimTable requests_;
  ClaimTable trials_;
  Tombstones tombstones_;
  Incarnations known_;
  WallMillis now_ = 0;
  std::uint64_t handed_out_ = 0;
  bool ready_ = false;
};

}  // namespace wagtailpick::claims
