#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "claims/record.h"

namespace wagtailpick::claims {

/// State of a claim at a replica.
enum class ClaimState : std::uint8_t {
  /// Held by an attempt that is not known to have run.
  kClaimed,
  /// The attempt ran; the position of its stored answer is not yet known.
  kAnswerPending,
  /// The attempt ran; its answer is stored.
  kAnswerStored,
  /// The attempt ran; its answer was too large to store.
  kAnswerNotKept,
};

/// A claim as a replica stores it, without its key.
struct HeldClaim {
  BodyDigest body{};
  AttemptId attempt{};
  WallMillis claimed_at = 0;
  std::uint64_t answer_position = kNoPosition;
  // Deadline relative to `claimed_at`. Stored in 32 bits to save memory with 500,000 claims.
  std::uint32_t deadline_after_ms = 0;
  ClaimState state = ClaimState::kClaimed;

  WallMillis deadline() const { return claimed_at + deadline_after_ms; }
  bool ran() const { return state != ClaimState::kClaimed; }
};

/// The claims of one table by key. A claim expires `retention_ms` after it was made.
class ClaimTable {
 public:
  /// `capacity` is the maximum number of keys; it is checked by `HasRoom` only. Memory for all of
  /// them is reserved at once.
  ClaimTable(Table table, std::size_t capacity, WallMillis retention_ms);

  /// Returns the claim that holds `key`, or null. After a disk was lost, the copies from other
  /// replicas can contain several holders for one key. Any of them may have won, so none may be
  /// accepted again; in this case a holder other than `requester` is returned.
  const HeldClaim* Find(const KeyDigest& key, const AttemptId& requester, WallMillis now);

  /// True when a new key can be added. Removes expired claims if the table is full, at most once
  /// per second.
  bool HasRoom(WallMillis now);

  /// Adds the claim of a claimed or completed record, or updates the one that holds the key.
  void Add(const Record& record);

  /// Removes the claim of `attempt` for `key`. Returns false and changes nothing if it does not
  /// hold the key or has run.
  bool Remove(const KeyDigest& key, const AttemptId& attempt);

  /// Sets the position of the stored answer of `attempt`; ignored unless it ran with such an
  /// answer.
  void SetAnswerPosition(const KeyDigest& key, const AttemptId& attempt, std::uint64_t position);

  /// Removes all expired claims.
  void ExpireAll(WallMillis now);
  /// Number of keys.
  std::size_t size() const { return claims_.size(); }
  std::vector<KeyDigest> keys() const;
  /// Appends the records of all claims for `key` that have not expired.
  void AppendRecords(const KeyDigest& key, WallMillis now, std::vector<Record>& out) const;
  void ForEachKey(const std::function<void(const KeyDigest&)>& visit) const;

 private:
  bool IsExpired(const HeldClaim& claim, WallMillis now) const {
    return claim.claimed_at + retention_ms_ <= now;
  }
  /// Adds a further holder of a key.
  void AddContested(const KeyDigest& key, const HeldClaim& claim);
  Record ToRecord(const KeyDigest& key, const HeldClaim& claim) const;

  Table table_;
  std::size_t capacity_;
  WallMillis retention_ms_;
  WallMillis last_full_sweep_ = 0;
  std::unordered_map<KeyDigest, HeldClaim, LeadingBytesHash> claims_;
  /// Further holders of keys for which the copies from other replicas disagree.
  std::unordered_map<KeyDigest, std::vector<HeldClaim>, LeadingBytesHash> contested_;
};

}  // namespace wagtailpick::claims
