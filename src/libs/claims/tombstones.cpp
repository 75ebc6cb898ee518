#include "claims/tombstones.h"

#include <algorithm>

#include "base/saturated_sum.h"

namespace wagtailpick::claims {

void Tombstones::Add(const Record& release, WallMillis now) {
  Expire(now);
  if (release.claimed_at + lifetime_ms_ <= now) return;
  if (!attempts_.insert(release.attempt).second) return;
  order_.push_back(
      {release.claimed_at, release.refused_at, release.attempt, release.key, release.table});
  if (release.refused_at == 0) return;
  WallMillis& refused_at = refused_[release.key];
  refused_at = std::max(refused_at, release.refused_at);
}

bool Tombstones::HasRoom(WallMillis now) {
  Expire(now);
  return order_.size() < capacity_;
}

void Tombstones::Expire(WallMillis now) {
  while (!order_.empty() && order_.front().added_at + lifetime_ms_ <= now) RemoveOldest();
}

bool Tombstones::IsRefused(const KeyDigest& key, WallMillis started_at) const {
  const auto found = refused_.find(key);
  return found != refused_.end() &&
         started_at <= base::SaturatedSum(found->second, kMaxClockSkewMs);
}

void Tombstones::AppendRecords(WallMillis now, std::vector<Record>& out) const {
  for (const Entry& entry : order_) {
    if (entry.added_at + lifetime_ms_ <= now) continue;
    Record record;
    record.kind = RecordKind::kReleased;
    record.table = entry.table;
    record.key = entry.key;
    record.attempt = entry.attempt;
    record.claimed_at = entry.added_at;
    record.refused_at = entry.refused_at;
    out.push_back(record);
  }
}

void Tombstones::RemoveOldest() {
  const Entry& oldest = order_.front();
  attempts_.erase(oldest.attempt);
  const auto refused = refused_.find(oldest.key);
  if (refused != refused_.end() && refused->second == oldest.refused_at) refused_.erase(refused);
  order_.pop_front();
}

}  // namespace wagtailpick::claims
