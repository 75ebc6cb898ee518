#include "claims/claim_table.h"

#include <algorithm>
#include <limits>

#include "base/saturated_sum.h"

namespace wagtailpick::claims {
namespace {

// Minimum time between two searches of a full table for expired claims, since each visits all
// claims.
constexpr WallMillis kFullSweepIntervalMs = 1000;

HeldClaim ToClaim(const Record& record) {
  HeldClaim claim;
  claim.body = record.body;
  claim.attempt = record.attempt;
  claim.claimed_at = record.claimed_at;
  claim.answer_position = record.answer_position;
  claim.deadline_after_ms = static_cast<std::uint32_t>(
      std::clamp<WallMillis>(base::SaturatedSum(record.deadline, -record.claimed_at), 0,
                             std::numeric_limits<std::uint32_t>::max()));
  if (record.kind != RecordKind::kCompleted) return claim;
  claim.state = !record.answer_kept                     ? ClaimState::kAnswerNotKept
                : record.answer_position == kNoPosition ? ClaimState::kAnswerPending
                                                        : ClaimState::kAnswerStored;
  return claim;
}

}  // namespace

ClaimTable::ClaimTable(Table table, std::size_t capacity, WallMillis retention_ms)
    : table_(table), capacity_(capacity), retention_ms_(retention_ms) {
  // Growing later would block the replica while all claims are rehashed.
  claims_.reserve(capacity);
}

const HeldClaim* ClaimTable::Find(const KeyDigest& key, const AttemptId& requester,
                                  WallMillis now) {
  const auto found = claims_.find(key);
  if (found == claims_.end()) return nullptr;
  const auto others = contested_.find(key);
  if (IsExpired(found->second, now)) {
    claims_.erase(found);
    if (others == contested_.end()) return nullptr;
    const std::vector<HeldClaim> rest = std::move(others->second);
    contested_.erase(others);
    for (const HeldClaim& claim : rest) Add(ToRecord(key, claim));
    return Find(key, requester, now);
  }
  if (found->second.attempt == requester && others != contested_.end()) {
    return &others->second.front();
  }
  return &found->second;
}

bool ClaimTable::HasRoom(WallMillis now) {
  if (claims_.size() < capacity_) return true;
  if (now - last_full_sweep_ < kFullSweepIntervalMs) return false;
  last_full_sweep_ = now;
  ExpireAll(now);
  return claims_.size() < capacity_;
}

void ClaimTable::Add(const Record& record) {
  const HeldClaim claim = ToClaim(record);
  const auto [found, is_new] = claims_.try_emplace(record.key, claim);
  if (is_new) return;
  HeldClaim& present = found->second;
  if (present.attempt == claim.attempt) {
    if (claim.ran() && (!present.ran() || present.state == ClaimState::kAnswerPending)) {
      present = claim;
      contested_.erase(record.key);
    }
    return;
  }
  if (IsExpired(claim, present.claimed_at)) return;
  if (IsExpired(present, claim.claimed_at) || (claim.ran() && !present.ran())) {
    present = claim;
    if (claim.ran()) contested_.erase(record.key);
    return;
  }
  // Only one attempt can have run. If the present one ran, the other did not win.
  if (!present.ran()) AddContested(record.key, claim);
}

void ClaimTable::AddContested(const KeyDigest& key, const HeldClaim& claim) {
  std::vector<HeldClaim>& others = contested_[key];
  const bool known = std::any_of(others.begin(), others.end(), [&](const HeldClaim& other) {
    return other.attempt == claim.attempt;
  });
  if (!known) others.push_back(claim);
}

bool ClaimTable::Remove(const KeyDigest& key, const AttemptId& attempt) {
  const auto found = claims_.find(key);
  if (found == claims_.end() || found->second.ran()) return false;
  const auto others = contested_.find(key);
  if (others == contested_.end()) {
    if (found->second.attempt != attempt) return false;
    claims_.erase(found);
    return true;
  }
  std::vector<HeldClaim>& list = others->second;
  bool removed = false;
  if (found->second.attempt == attempt) {
    found->second = list.front();
    list.erase(list.begin());
    removed = true;
  } else {
    removed = std::erase_if(list, [&](const HeldClaim& c) { return c.attempt == attempt; }) > 0;
  }
  if (list.empty()) contested_.erase(others);
  return removed;
}

void ClaimTable::SetAnswerPosition(const KeyDigest& key, const AttemptId& attempt,
                                   std::uint64_t position) {
  const auto found = claims_.find(key);
  if (found == claims_.end() || found->second.attempt != attempt) return;
  HeldClaim& claim = found->second;
  if (claim.state != ClaimState::kAnswerPending && claim.state != ClaimState::kAnswerStored) return;
  claim.answer_position = position;
  claim.state = ClaimState::kAnswerStored;
}

void ClaimTable::ExpireAll(WallMillis now) {
  std::vector<KeyDigest> expired_contested;
  std::erase_if(claims_, [&](const auto& item) {
    if (!IsExpired(item.second, now)) return false;
    if (!contested_.contains(item.first)) return true;
    expired_contested.push_back(item.first);
    return false;
  });
  for (const KeyDigest& key : expired_contested) Find(key, AttemptId{}, now);
}

std::vector<KeyDigest> ClaimTable::keys() const {
  std::vector<KeyDigest> result;
  result.reserve(claims_.size());
  for (const auto& [key, claim] : claims_) result.push_back(key);
  return result;
}

void ClaimTable::AppendRecords(const KeyDigest& key, WallMillis now,
                               std::vector<Record>& out) const {
  const auto found = claims_.find(key);
  if (found == claims_.end()) return;
  if (!IsExpired(found->second, now)) out.push_back(ToRecord(key, found->second));
  const auto others = contested_.find(key);
  if (others == contested_.end()) return;
  for (const HeldClaim& claim : others->second) {
    if (!IsExpired(claim, now)) out.push_back(ToRecord(key, claim));
  }
}

void ClaimTable::ForEachKey(const std::function<void(const KeyDigest&)>& visit) const {
  for (const auto& [key, claim] : claims_) visit(key);
}

Record ClaimTable::ToRecord(const KeyDigest& key, const HeldClaim& claim) const {
  Record record;
  // The record cannot refer to an answer that is not on disk yet. Listed as a claim, the key stays
  // held.
  const bool is_listed_as_run = claim.ran() && claim.state != ClaimState::kAnswerPending;
  record.kind = is_listed_as_run ? RecordKind::kCompleted : RecordKind::kClaimed;
  record.table = table_;
  record.key = key;
  record.body = claim.body;
  record.attempt = claim.attempt;
  record.claimed_at = claim.claimed_at;
  record.deadline = claim.deadline();
  record.answer_kept = claim.state == ClaimState::kAnswerStored;
  record.answer_position = claim.answer_position;
  return record;
}

}  // namespace wagtailpick::claims
