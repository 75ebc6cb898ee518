#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "claims/record.h"

namespace wagtailpick::claims {

enum class ClaimState : std::uint8_t {
  kClaimed,
  /// Ran; the driver has not yet said where the answer is stored.
  kAnswerPending,
  kAnswerStored,
  kAnswerNotKept,
};

/// What a replica remembers of one claim besides its key.
struct HeldClaim {
  BodyDigest body{};
  AttemptId attempt{};
  WallMillis claimed_at = 0;
  std::uint64_t answer_position = kNoPosition;
  // The deadline is kept as a distance: with 500,000 claims every byte counts.
  std::uint32_t deadline_after_ms = 0;
  ClaimState state = ClaimState::kClaimed;

  WallMillis deadline() const { return claimed_at + deadline_after_ms; }
  bool ran() const { return state != ClaimState::kClaimed; }
};

/// Claims of one kind by key, each dropped `retention_ms` after it was made.
class ClaimTable {
 public:
  ClaimTable(Table table, std::size_t capacity, WallMillis retention_ms);

  /// Returns the claim that holds `key`, or null. Disks that were copied after a loss can name
  /// several holders for one key; any of them may have won, so none may be accepted again: then
  /// this returns one that isn't `asking`.
  const HeldClaim* Find(const KeyDigest& key, const AttemptId& asking, WallMillis now);

  /// Whether a new key can be added; drops expired claims when there is no room.
  bool HasRoom(WallMillis now);

  /// Takes in a claimed or completed record.
  void Add(const Record& record);

  /// Frees `key` if `attempt` holds it and has not run; returns whether it did.
  bool Remove(const KeyDigest& key, const AttemptId& attempt);

  /// Remembers where the answer of `attempt` is stored.
  void SetAnswerPosition(const KeyDigest& key, const AttemptId& attempt, std::uint64_t position);

  void ExpireAll(WallMillis now);
  std::size_t size() const { return claims_.size(); }
  std::vector<KeyDigest> keys() const;
  void AppendRecords(const KeyDigest& key, WallMillis now, std::vector<Record>& out) const;
  void ForEachKey(const std::function<void(const KeyDigest&)>& visit) const;

 private:
  bool IsExpired(const HeldClaim& claim, WallMillis now) const {
    return claim.claimed_at + retention_ms_ <= now;
  }
  void Contest(const KeyDigest& key, const HeldClaim& claim);
  Record ToRecord(const KeyDigest& key, const HeldClaim& claim) const;

  Table table_;
  std::size_t capacity_;
  WallMillis retention_ms_;
  WallMillis last_full_sweep_ = 0;
  std::unordered_map<KeyDigest, HeldClaim, LeadingBytesHash> claims_;
  /// Further holders of keys for which copied disks disagree.
  std::unordered_map<KeyDigest, std::vector<HeldClaim>, LeadingBytesHash> contested_;
};

}  // namespace wagtailpick::claims
