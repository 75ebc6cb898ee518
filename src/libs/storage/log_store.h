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

/// By how many bytes the dead records must exceed the live ones before a trimmed log is rewritten:
/// for less, a rewrite saves too little space for the cost of its two syncs.
inline constexpr std::uint64_t kLogCompactionFloorBytes = std::uint64_t{4} << 20;

/// The consensus log and hard state of one replica, in one record file. Changes are durable only
/// after `Sync`, which covers all changes made before it. Entries stay on disk; only their
/// locations are kept in memory. After a failed write or sync every call fails with `kIo`, as in
/// `RecordLog`.
class LogStore {
 public:
  /// Creates an empty store, replacing any file at `path`.
  static base::Result<LogStore> Create(FileOpsPtr ops, std::string path,
                                       std::uint64_t compaction_floor = kLogCompactionFloorBytes);

  /// Opens a store. Fails with `kNotFound` or `kCorrupt` as `RecordLog::Open` does.
  static base::Result<LogStore> Open(FileOpsPtr ops, std::string path,
                                     std::uint64_t compaction_floor = kLogCompactionFloorBytes);

  /// Appends entries. Fails with `kInvalidArgument` when their indexes do not follow
  /// `last_index()`.
  base::Result<void> Append(std::span<const LogEntry> entries);

  /// Removes the entries from `index` on. Fails with `kInvalidArgument` when `index` is trimmed.
  base::Result<void> TruncateFrom(std::uint64_t index);

  /// Removes the entries up to and including `last`, which a snapshot covers. Entries after it are
  /// kept only if the entry at `last.index` has term `last.term`; otherwise all are removed and the
  /// next entry gets index `last.index + 1`. Rewrites the file when the dead bytes exceed the live
  /// ones by at least the `compaction_floor`.
  base::Result<void> TrimTo(LogPosition last);

  /// Replaces the hard state.
  base::Result<void> SetHardState(const HardState& state);
  /// Makes all changes made so far durable.
  base::Result<void> Sync();

  /// Reads one entry. Fails with `kNotFound` when it is not in the log and with `kCorrupt` when its
  /// record is damaged.
  base::Result<LogEntry> Read(std::uint64_t index);

  /// Reads all entries in order.
  base::Result<std::vector<LogEntry>> ReadAll();

  const HardState& hard_state() const { return hard_state_; }

  /// Position of the last entry that was trimmed; zero when none was.
  LogPosition trimmed() const { return trimmed_; }

  /// Index of the first entry in the log, or of the next entry when the log is empty.
  std::uint64_t first_index() const { return trimmed_.index + 1; }

  /// Index of the last entry; `trimmed().index` when the log is empty.
  std::uint64_t last_index() const { return trimmed_.index + locations_.size(); }

  /// Size of the file in bytes.
  std::uint64_t file_bytes() const { return log_->size(); }

  /// Bytes of a torn record that were cut off the end at opening.
  std::uint64_t cut_bytes() const { return log_->cut_bytes(); }

 private:
  // Location of one entry's record in the file.
  struct EntryLocation {
    std::uint64_t offset = 0;
    std::uint64_t term = 0;
    std::uint64_t bytes = 0;
  };

  explicit LogStore(std::uint64_t compaction_floor) : compaction_floor_(compaction_floor) {}
  base::Result<void> Replay(std::uint64_t offset, std::string_view bytes);
  base::Result<void> Write(const LogRecord& record);
  base::Result<void> Compact();
  base::Result<void> AddLocation(const LogEntry& entry, std::uint64_t offset, std::uint64_t bytes);
  void RemoveFrom(std::uint64_t index);
  void RemoveThrough(LogPosition last);
  bool Contains(std::uint64_t index) const;

  std::uint64_t compaction_floor_;
  std::unique_ptr<RecordLog> log_;
  std::deque<EntryLocation> locations_;
  std::uint64_t live_bytes_ = 0;
  LogPosition trimmed_;
  HardState hard_state_;
};

}  // namespace wagtailpick::storage
