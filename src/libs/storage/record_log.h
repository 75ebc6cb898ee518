#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "storage/file.h"

namespace wagtailpick::storage {

/// Append-only file of checksummed opaque records. A record is durable only after `Sync`. After a
/// failed write, sync or rewrite every call fails with `kIo` and names that failure, as the content
/// of the file is unknown until it is opened again.
class RecordLog {
 public:
  /// Called with each record and its offset; a failure stops the scan and is returned.
  using Visitor = std::function<base::Result<void>(std::uint64_t offset, std::string_view record)>;
  /// Appends the records of the rewritten file to `fresh`.
  using Filler = std::function<base::Result<void>(RecordLog& fresh)>;

  /// Creates an empty log, replacing any file at `path`.
  static base::Result<RecordLog> Create(FileOpsPtr ops, std::string path);

  /// Opens a log and visits its records in order. A torn record at the end, as a crash during a
  /// write leaves it, is cut off. Fails with `kNotFound` when the file is missing, and with
  /// `kCorrupt`, naming file and offset, when a damaged record has an intact one after it.
  static base::Result<RecordLog> Open(FileOpsPtr ops, std::string path, const Visitor& visit);

  /// Appends a record and returns its offset. Fails with `kLimitExceeded` above `kMaxRecordBytes`.
  base::Result<std::uint64_t> Append(std::string_view record);

  /// Makes all records added so far durable.
  base::Result<void> Sync();

  /// Reads the record at `offset`, as returned by `Append` or passed to a visitor. Fails with
  /// `kCorrupt` when there is no intact record.
  base::Result<std::string> Read(std::uint64_t offset);

  /// Visits all records in order. Fails with `kCorrupt` at the first damaged one.
  base::Result<void> Scan(const Visitor& visit);

  /// Replaces the file by one with the records that `fill` appends, durably and atomically. All
  /// offsets change.
  base::Result<void> Rewrite(const Filler& fill);

  /// Size of the file in bytes, including records that are not written or synced yet.
  std::uint64_t size() const { return written_ + pending_.size(); }

  /// Bytes that were cut off the end at opening.
  std::uint64_t cut_bytes() const { return cut_bytes_; }

  const std::string& path() const { return file_.path(); }

 private:
  explicit RecordLog(File file);
  static base::Result<RecordLog> CreateAt(FileOpsPtr ops, std::string path);
  base::Result<void> CheckUsable() const;
  base::Result<void> Flush();
  base::Result<void> Recover(const Visitor& visit);
  base::Result<void> TruncateTail(std::uint64_t offset, std::uint64_t size);
  base::Result<void> ReplaceBy(const Filler& fill);
  // Stores the error of `result`, if it has one, for all later calls; returns `result`.
  base::Result<void> RecordFailure(base::Result<void> result);

  File file_;
  FileOpsPtr ops_;
  std::string pending_;
  std::uint64_t written_ = 0;
  std::uint64_t cut_bytes_ = 0;
  std::optional<base::Error> failure_;
};

}  // namespace wagtailpick::storage
