#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "storage/record_log.h"

namespace wagtailpick::storage {

/// The claims and stored answers of one replica as opaque records. A record is durable only after
/// `Sync`. Records are read by their file offset, so answers need not stay in memory. Errors are
/// those of `RecordLog`.
class ClaimLog {
 public:
  /// Decides whether a record is still needed.
  using LivePredicate = std::function<bool(std::uint64_t offset, std::string_view record)>;
  /// Called for every record that was kept, with its old and new offset.
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

  /// Whether the file is worth compacting if `live_records` records, `live_bytes` long in all, are
  /// still needed: the other bytes must exceed the needed ones by a fixed minimum.
  bool NeedsCompaction(std::uint64_t live_records, std::uint64_t live_bytes) const;

  /// Rewrites the file with the live records in their order; durable on return. `moved` is called
  /// only after the new file has replaced the old one.
  base::Result<void> Compact(const LivePredicate& is_live, const MoveHandler& moved);

  /// Size of the file in bytes.
  std::uint64_t file_bytes() const { return log_.size(); }

  /// Bytes of a torn record that were cut off the end at opening.
  std::uint64_t cut_bytes() const { return log_.cut_bytes(); }

 private:
  explicit ClaimLog(RecordLog log);

  RecordLog log_;
};

}  // namespace wagtailpick::storage
