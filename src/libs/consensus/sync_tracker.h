#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "consensus/log.h"
#include "consensus/message.h"
#include "consensus/output.h"

namespace wagtailpick::consensus {

/// Keeps track of which records are on disk, and holds back the messages that depend on the others.
class SyncTracker {
 public:
  /// Everything up to `synced_index` was recovered from disk.
  explicit SyncTracker(std::uint64_t synced_index) : synced_index_(synced_index) {}

  void MarkHardState();
  /// The log now differs from the disk from `index` on.
  void MarkEntriesFrom(std::uint64_t index);
  /// A snapshot of this replica's own applied state; the log stays, but for what may be trimmed.
  void MarkSnapshot(Snapshot snapshot, std::uint64_t trim_through);
  /// A snapshot from the leader that replaces the whole log.
  void MarkInstall(Snapshot snapshot);
  /// The stored log doesn't continue the stored snapshot.
  void MarkDropLog() { drop_log_ = true; }

  /// Highest index up to which log (or snapshot) and disk agree.
  std::uint64_t synced_index() const { return synced_index_; }
  bool hard_state_synced() const { return hard_state_batch_ <= synced_batch_; }

  /// Sends `message` once everything marked so far is synced.
  void Hold(Message message);
  /// Forgets the messages that are held back.
  void DropHeld() { held_.clear(); }

  /// Returns all that was marked since the last call as one batch; empty when there was nothing.
  SyncBatch Take(const HardState& hard_state, const Log& log);
  /// Notes that the batches up to `id` are on disk and returns the messages that waited for them.
  std::vector<Message> Synced(std::uint64_t id);

 private:
  struct TakenBatch {
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
  std::deque<TakenBatch> taken_;
  std::vector<HeldMessage> held_;
};

}  // namespace wagtailpick::consensus
