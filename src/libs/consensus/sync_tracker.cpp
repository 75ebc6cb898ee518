#include "consensus/sync_tracker.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace wagtailpick::consensus {

void SyncTracker::MarkHardState() { hard_state_batch_ = next_batch_; }

void SyncTracker::MarkEntriesFrom(std::uint64_t index) {
  dirty_from_ = std::min(dirty_from_.value_or(index), index);
  ClampSyncedIndex(index - 1);
}

void SyncTracker::MarkSnapshot(Snapshot snapshot, std::uint64_t trim_through) {
  snapshot_ = std::move(snapshot);
  trim_through_ = trim_through;
}

void SyncTracker::MarkInstalledSnapshot(Snapshot snapshot) {
  snapshot_ = std::move(snapshot);
  trim_through_ = 0;
  drop_log_ = true;
  dirty_from_.reset();
  ClampSyncedIndex(0);
}

// A batch that is being written may hold entries that were replaced in the meantime. Its sync must
// not count for the entries that replaced them.
void SyncTracker::ClampSyncedIndex(std::uint64_t last_index) {
  synced_index_ = std::min(synced_index_, last_index);
  for (UnsyncedBatch& batch : unsynced_) batch.last_index = std::min(batch.last_index, last_index);
}

bool SyncTracker::IsDirty() const {
  return hard_state_batch_ == next_batch_ || dirty_from_ || snapshot_ || drop_log_;
}

void SyncTracker::Hold(Message message) {
  held_.push_back({IsDirty() ? next_batch_ : next_batch_ - 1, std::move(message)});
}

SyncBatch SyncTracker::ConsumeBatch(const HardState& hard_state, const Log& log) {
  SyncBatch batch;
  if (!IsDirty()) return batch;
  if (hard_state_batch_ == next_batch_) batch.hard_state = hard_state;
  batch.id = next_batch_++;
  batch.snapshot = std::exchange(snapshot_, std::nullopt);
  batch.drop_log = std::exchange(drop_log_, false);
  batch.trim_through = std::exchange(trim_through_, 0);
  if (dirty_from_) {
    batch.entries =
        log.Slice(*dirty_from_, log.last_index(), std::numeric_limits<std::size_t>::max());
  }
  dirty_from_.reset();
  unsynced_.push_back({batch.id, log.last_index()});
  return batch;
}

std::vector<Message> SyncTracker::Synced(std::uint64_t id) {
  synced_batch_ = std::max(synced_batch_, std::min(id, next_batch_ - 1));
  while (!unsynced_.empty() && unsynced_.front().id <= synced_batch_) {
    synced_index_ = std::max(synced_index_, unsynced_.front().last_index);
    unsynced_.pop_front();
  }
  std::vector<Message> released;
  const auto waiting = std::stable_partition(
      held_.begin(), held_.end(),
      [this](const HeldMessage& held) { return held.batch <= synced_batch_; });
  for (auto held = held_.begin(); held != waiting; ++held) {
    released.push_back(std::move(held->message));
  }
  held_.erase(held_.begin(), waiting);
  return released;
}

}  // namespace wagtailpick::consensus
