#pragma once

#include <optional>
#include <string>

#include "base/result.h"
#include "storage/file_ops.h"
#include "storage/log_entry.h"

namespace wagtailpick::storage {

/// The state of a replica after applying the log up to and including `last`.
struct Snapshot {
  LogPosition last;
  /// Members of the replica group at `last`; opaque to the store.
  std::string configuration;
  std::string data;

  friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

/// The newest snapshot of one replica, in one file that is replaced as a whole.
class SnapshotStore {
 public:
  SnapshotStore(FileOpsPtr ops, std::string path);

  /// Replaces the stored snapshot; durable on return. Fails with `kLimitExceeded` when the snapshot
  /// is too large, and otherwise with `kIo`. After `kIo` every call fails, as it is unknown which
  /// snapshot is stored.
  base::Result<void> Save(const Snapshot& snapshot);

  /// Returns the stored snapshot, or nothing when none was saved. Fails with `kCorrupt` when the
  /// file is damaged anywhere, as it is renamed only when complete and so has no torn end. The
  /// returned snapshot is durable.
  base::Result<std::optional<Snapshot>> Load();

 private:
  base::Result<void> CheckUsable() const;
  // Stores the error of `result`, if it has one, for all later calls; returns `result`.
  base::Result<void> RecordFailure(base::Result<void> result);
  base::Result<std::string> ReadDurable();

  FileOpsPtr ops_;
  std::string path_;
  std::optional<base::Error> failure_;
};

}  // namespace wagtailpick::storage
