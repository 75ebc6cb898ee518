#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "storage/record_log.h"

namespace wagtailpick::storage {

/// The claims and stored answers of one replica as opaque records. A claim counts as stored only
/// after `Sync`. Records are found again by their offset, so answers needn't stay in memory.
class ClaimLog {
 public:
  /// Decides whether a record is still needed.
  using LiveTest = std::function<bool(std::uint64_t offset, std::string_view record)>;
  /// Called for every record that stayed, with its old and new offset.
  using MoveHandler = std::function<void(std::uint64_t from, std::uint64_t to)>;

  /// Creates an empty log, replacing any file at `path`.
  static base::Result<ClaimLog> Create(FileOpsPtr ops, std::string path);

  /// Opens a log and visits its records in order; errors as for `RecordLog::Open`.
  static base::Result<ClaimLog> Open(FileOpsPtr ops, std::string path,
                                     const RecordLog::Visitor& visit);

  /// Adds a record and returns its offset.
  base::Result<std::uint64_t> Append(std::string_view record);

  /// Makes all records added so far durable.
  base::Result<void> Sync();

  /// Reads the record at `offset`.
  base::Result<std::string> Read(std::uint64_t offset);

  /// Whether more than half of the file is dead when `live_records` of `live_bytes` in all are
  /// still needed.
  bool NeedsCompaction(std::uint64_t live_records, std::uint64_t live_bytes) const;

  /// Rewrites the file with the live records in their order; durable on return. `moved` runs only
  /// after the new file is in place.
  base::Result<void> Compact(const LiveTest& is_live, const MoveHandler& moved);

  /// Bytes of the file.
  std::uint64_t file_bytes() const { return log_.size(); }

  /// Bytes of a torn tail that were cut off at opening.
  std::uint64_t cut_bytes() const { return log_.cut_bytes(); }

 private:
  explicit ClaimLog(RecordLog log);

  RecordLog log_;
};

}  // namespace wagtailpick::storage
