#include "claims/tombstones.h"

namespace wagtailpick::claims {

void Tombstones::Add(const Record& release, WallMillis now) {
  Expire(now);
  if (capacity_ == 0 || !attempts_.insert(release.attempt).second) return;
  order_.push_back({now, release.attempt, release.key, release.table});
  if (order_.size() > capacity_) DropOldest();
}

void Tombstones::Expire(WallMillis now) {
  while (!order_.empty() && order_.front().added_at + lifetime_ms_ <= now) DropOldest();
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
    out.push_back(record);
  }
}

void Tombstones::DropOldest() {
  attempts_.erase(order_.front().attempt);
  order_.pop_front();
}

}  // namespace wagtailpick::claims
