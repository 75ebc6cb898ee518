#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "base/result.h"
#include "storage/log_codec.h"
#include "storage/log_entry.h"
#include "storage/record_log.h"

namespace wagtailpick::storage {

/// A trimmed log is rewritten only from this size on; below it, a rewrite saves too little to pay
/// for its two syncs.
inline constexpr std::uint64_t kLogCompactionFloorBytes = std::uint64_t{4} << 20;

/// The consensus log and hard state of one replica, in one record file. Changes are durable only
/// after `Sync`, which covers all changes made before it. Entries stay on disk; only their places
/// are kept in memory.
class LogStore {
 public:
  /// Creates an empty store, replacing any file at `path`.
  static base::Result<LogStore> Create(FileOpsPtr ops, std::string path,
                                       std::uint64_t compaction_floor = kLogCompactionFloorBytes);

  /// Opens a store. Fails with `kNotFound` or `kCorrupt` as `RecordLog::Open` does.
  static base::Result<LogStore> Open(FileOpsPtr ops, std::string path,
                                     std::uint64_t compaction_floor = kLogCompactionFloorBytes);

  /// Adds entries. Fails with `kInvalidArgument` when their indexes don't follow `last_index`.
  base::Result<void> Append(std::span<const LogEntry> entries);

  /// Drops the entries from `index` on. Fails with `kInvalidArgument` when `index` is trimmed.
  base::Result<void> TruncateFrom(std::uint64_t index);

  /// Drops the entries up to and including `last`, which a snapshot covers. Entries after it stay
  /// only if the entry at `last.index` has term `last.term`; otherwise the log restarts after it.
  /// Rewrites the file when more than half of it is dead.
  base::Result<void> TrimTo(LogPosition last);

  base::Result<void> SetHardState(const HardState& state);
  base::Result<void> Sync();

  /// Reads one entry. Fails with `kNotFound` when it isn't in the log.
  base::Result<LogEntry> Read(std::uint64_t index);

  /// Reads all entries in order.
  base::Result<std::vector<LogEntry>> ReadAll();

  const HardState& hard_state() const { return hard_state_; }

  /// Place of the last entry that was trimmed; zero when none was.
  LogPosition trimmed() const { return trimmed_; }

  /// Index of the first entry in the log, or the one that the next entry will get.
  std::uint64_t first_index() const { return trimmed_.index + 1; }

  /// Index of the last entry; `trimmed().index` when the log is empty.
  std::uint64_t last_index() const { return trimmed_.index + slots_.size(); }

  /// Bytes of the file.
  std::uint64_t file_bytes() const { return log_->size(); }

  /// Bytes of a torn tail that were cut off at opening.
  std::uint64_t cut_bytes() const { return log_->cut_bytes(); }

 private:
  // Place of one entry in the file.
  struct Slot {
    std::uint64_t offset = 0;
    std::uint64_t term = 0;
    std::uint64_t bytes = 0;
  };

  explicit LogStore(std::uint64_t compaction_floor) : compaction_floor_(compaction_floor) {}
  base::Result<void> Replay(std::uint64_t offset, std::string_view bytes);
  base::Result<void> Write(const LogRecord& record);
  base::Result<void> Compact();
  base::Result<void> AddSlot(const LogEntry& entry, std::uint64_t offset, std::uint64_t bytes);
  void DropFrom(std::uint64_t index);
  void DropTo(LogPosition last);
  bool Contains(std::uint64_t index) const;

  std::uint64_t compaction_floor_;
  std::unique_ptr<RecordLog> log_;
  std::deque<Slot> slots_;
  std::uint64_t live_bytes_ = 0;
  LogPosition trimmed_;
  HardState hard_state_;
};

}  // namespace wagtailpick::storage
