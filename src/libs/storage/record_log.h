#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "storage/file.h"

namespace wagtailpick::storage {

/// Append-only file of checksummed opaque records. A record counts as stored only after `Sync`.
/// After a failed write, sync or rewrite every call fails with `kIo` and names that failure: what
/// the file then holds is unknown until it is opened again.
class RecordLog {
 public:
  /// Called with each record and its offset; a failure stops the scan and is returned.
  using Visitor = std::function<base::Result<void>(std::uint64_t offset, std::string_view record)>;
  /// Appends the records that the rewritten file is to hold.
  using Filler = std::function<base::Result<void>(RecordLog& fresh)>;

  /// Creates an empty log, replacing any file at `path`.
  static base::Result<RecordLog> Create(FileOpsPtr ops, std::string path);

  /// Opens a log and visits its records in order. A torn record at the end is cut off. Fails with
  /// `kNotFound` when the file is missing, and with `kCorrupt`, naming file and offset, when a
  /// damaged record has an intact one after it.
  static base::Result<RecordLog> Open(FileOpsPtr ops, std::string path, const Visitor& visit);

  /// Adds a record and returns its offset. Fails with `kLimitExceeded` above `kMaxRecordBytes`.
  base::Result<std::uint64_t> Append(std::string_view record);

  /// Makes all records added so far durable.
  base::Result<void> Sync();

  /// Reads the record at `offset`, as returned by `Append` or passed to a visitor.
  base::Result<std::string> Read(std::uint64_t offset);

  /// Visits all records in order.
  base::Result<void> Scan(const Visitor& visit);

  /// Replaces the file by one with the records that `fill` appends, durably and atomically. All
  /// offsets change.
  base::Result<void> Rewrite(const Filler& fill);

  /// Bytes in the file, including records that aren't synced yet.
  std::uint64_t size() const { return written_ + pending_.size(); }

  /// Bytes that were cut off the end at opening.
  std::uint64_t cut_bytes() const { return cut_bytes_; }

  const std::string& path() const { return file_.path(); }

 private:
  explicit RecordLog(File file);
  static base::Result<RecordLog> CreateAt(FileOpsPtr ops, std::string path);
  base::Result<void> Usable() const;
  base::Result<void> Flush();
  base::Result<void> Recover(const Visitor& visit);
  base::Result<void> CutTail(std::uint64_t offset, std::uint64_t size);
  base::Result<void> ReplaceBy(const Filler& fill);
  base::Result<void> Remember(base::Result<void> result);

  File file_;
  FileOpsPtr ops_;
  std::string pending_;
  std::uint64_t written_ = 0;
  std::uint64_t cut_bytes_ = 0;
  std::optional<base::Error> failure_;
};

}  // namespace wagtailpick::storage
