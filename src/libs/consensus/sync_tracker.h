#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "consensus/log.h"
#include "consensus/message.h"
#include "consensus/output.h"

namespace wagtailpick::consensus {

/// Tracks which records are on disk and holds back messages that depend on records that are not.
class SyncTracker {
 public:
  /// `synced_index` is the last index of the log recovered from disk.
  explicit SyncTracker(std::uint64_t synced_index) : synced_index_(synced_index) {}

  void MarkHardState();
  /// Records that the log differs from the disk from `index` on.
  void MarkEntriesFrom(std::uint64_t index);
  /// Records a snapshot of this replica's applied state. The log stays; entries up to
  /// `trim_through` may be removed.
  void MarkSnapshot(Snapshot snapshot, std::uint64_t trim_through);
  /// Records a snapshot from the leader that replaces the whole log.
  void MarkInstalledSnapshot(Snapshot snapshot);
  /// Records that the stored log has to be dropped, as it does not continue the stored snapshot.
  void MarkDropLog() { drop_log_ = true; }

  /// Highest index up to which the log or snapshot in memory is on disk.
  std::uint64_t synced_index() const { return synced_index_; }
  bool hard_state_synced() const { return hard_state_batch_ <= synced_batch_; }

  /// Holds `message` until everything marked so far is synced.
  void Hold(Message message);
  /// Discards the messages that are held back.
  void DropHeld() { held_.clear(); }

  /// Returns everything marked since the last call as one batch, which is empty if nothing was.
  SyncBatch ConsumeBatch(const HardState& hard_state, const Log& log);
  /// Records that the batches up to `id` are on disk and returns the messages held back for them.
  std::vector<Message> Synced(std::uint64_t id);

 private:
  struct UnsyncedBatch {
    std::uint64_t id = 0;
    std::uint64_t last_index = 0;
  };
  struct HeldMessage {
    std::uint64_t batch = 0;
    Message message;
  };

  bool IsDirty() const;
  void ClampSyncedIndex(std::uint64_t last_index);

  std::uint64_t next_batch_ = 1;
  std::uint64_t synced_batch_ = 0;
  std::uint64_t hard_state_batch_ = 0;
  std::uint64_t synced_index_;
  std::optional<std::uint64_t> dirty_from_;
  std::optional<Snapshot> snapshot_;
  std::uint64_t trim_through_ = 0;
  bool drop_log_ = false;
  std::deque<UnsyncedBatch> unsynced_;
  std::vector<HeldMessage> held_;
};

}  // namespace wagtailpick::consensus
