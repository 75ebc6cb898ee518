#include "storage/record_log.h"

#include <algorithm>
#include <utility>

#include "storage/record_format.h"

namespace wagtailpick::storage {
namespace {

using base::ErrorCode;
using base::Fail;
using base::Ok;
using base::Result;

constexpr std::size_t kFlushBytes = std::size_t{1} << 20;
constexpr std::size_t kReadAheadBytes = std::size_t{1} << 20;

auto DamagedRecord(const std::string& path, std::uint64_t offset, const std::string& detail) {
  return Fail(ErrorCode::kCorrupt,
              path + ": damaged record at offset " + std::to_string(offset) + detail);
}

// Reads a file sequentially in large blocks.
class ReadAhead {
 public:
  explicit ReadAhead(const File& file) : file_(file) {}

  // Returns `size` bytes at `offset`, fewer at the end of the file; valid until the next call.
  Result<std::string_view> Slice(std::uint64_t offset, std::size_t size) {
    if (offset < start_ || offset + size > start_ + buffer_.size()) {
      BOOST_OUTCOME_TRY(bytes, file_.Read(offset, std::max(size, kReadAheadBytes)));
      buffer_ = std::move(bytes);
      start_ = offset;
    }
    return std::string_view{buffer_}.substr(offset - start_, size);
  }

  // Returns the record at `offset`, or nothing when it is damaged or incomplete.
  Result<std::optional<std::string_view>> Record(std::uint64_t offset) {
    BOOST_OUTCOME_TRY(head, Slice(offset, kRecordHeaderBytes));
    const auto header = ParseHeader(head);
    if (!header) return std::nullopt;
    BOOST_OUTCOME_TRY(record, Slice(offset + kRecordHeaderBytes, header->length));
    if (!Matches(*header, offset, record)) return std::nullopt;
    return record;
  }

 private:
  const File& file_;
  std::string buffer_;
  std::uint64_t start_ = 0;
};

// Visits the records up to `end`. Returns the offset of the first one that is not intact, or `end`.
Result<std::uint64_t> VisitRecords(const File& file, std::uint64_t end,
                                   const RecordLog::Visitor& visit) {
  ReadAhead reader(file);
  std::uint64_t offset = kRecordFileHeader.size();
  while (offset < end) {
    BOOST_OUTCOME_TRY(record, reader.Record(offset));
    if (!record) break;
    BOOST_OUTCOME_TRY(visit(offset, *record));
    offset += kRecordHeaderBytes + record->size();
  }
  return offset;
}

}  // namespace

RecordLog::RecordLog(File file) : file_(std::move(file)) {}

Result<RecordLog> RecordLog::CreateAt(FileOpsPtr ops, std::string path) {
  BOOST_OUTCOME_TRY(file, File::Open(ops, std::move(path), OpenMode::kReplace));
  RecordLog log(std::move(file));
  log.ops_ = std::move(ops);
  log.pending_ = kRecordFileHeader;
  return log;
}

Result<RecordLog> RecordLog::Create(FileOpsPtr ops, std::string path) {
  // The file is renamed to `path` only once its header is durable, so a file at `path` has one.
  BOOST_OUTCOME_TRY(log, CreateAt(std::move(ops), TemporaryPath(path)));
  BOOST_OUTCOME_TRY(log.Sync());
  BOOST_OUTCOME_TRY(log.file_.RenameTo(std::move(path)));
  return std::move(log);
}

Result<RecordLog> RecordLog::Open(FileOpsPtr ops, std::string path, const Visitor& visit) {
  BOOST_OUTCOME_TRY(TruncateTemporary(ops, path));
  BOOST_OUTCOME_TRY(file, File::Open(ops, std::move(path), OpenMode::kExisting));
  RecordLog log(std::move(file));
  log.ops_ = std::move(ops);
  BOOST_OUTCOME_TRY(log.Recover(visit));
  return log;
}

Result<void> RecordLog::Recover(const Visitor& visit) {
  BOOST_OUTCOME_TRY(size, file_.Size());
  BOOST_OUTCOME_TRY(header, file_.Read(0, kRecordFileHeader.size()));
  if (header != kRecordFileHeader) return DamagedRecord(path(), 0, ": no file header");
  BOOST_OUTCOME_TRY(intact, VisitRecords(file_, size, visit));
  written_ = intact;
  if (intact < size) {
    BOOST_OUTCOME_TRY(TruncateTail(intact, size));
  }
  // An earlier process may have died between its write or rename and the sync. The records visited
  // here count as stored, so they must be durable.
  BOOST_OUTCOME_TRY(file_.Sync());
  return file_.SyncFolder();
}

Result<void> RecordLog::TruncateTail(std::uint64_t offset, std::uint64_t size) {
  BOOST_OUTCOME_TRY(tail, file_.Read(offset, size - offset));
  if (const auto intact = FindRecord(tail, offset)) {
    return DamagedRecord(path(), offset,
                         ", but the record at offset " + std::to_string(*intact) + " is intact");
  }
  cut_bytes_ = size - offset;
  return file_.Truncate(offset);
}

Result<void> RecordLog::CheckUsable() const {
  if (!failure_) return Ok();
  return Fail(ErrorCode::kIo, path() + " is unusable after a failure: " + failure_->message);
}

Result<void> RecordLog::RecordFailure(Result<void> result) {
  if (result.has_error()) failure_ = result.error();
  return result;
}

Result<void> RecordLog::Flush() {
  BOOST_OUTCOME_TRY(CheckUsable());
  BOOST_OUTCOME_TRY(RecordFailure(file_.WriteAll(written_, pending_)));
  written_ += pending_.size();
  pending_.clear();
  return Ok();
}

Result<std::uint64_t> RecordLog::Append(std::string_view record) {
  BOOST_OUTCOME_TRY(CheckUsable());
  if (record.size() > kMaxRecordBytes) {
    return Fail(ErrorCode::kLimitExceeded, path() + ": record of " + std::to_string(record.size()) +
                                               " bytes, at most " +
                                               std::to_string(kMaxRecordBytes) + " are allowed");
  }
  const std::uint64_t offset = size();
  AppendFramed(pending_, offset, record);
  if (pending_.size() >= kFlushBytes) {
    BOOST_OUTCOME_TRY(Flush());
  }
  return offset;
}

Result<void> RecordLog::Sync() {
  BOOST_OUTCOME_TRY(Flush());
  return RecordFailure(file_.Sync());
}

Result<std::string> RecordLog::Read(std::uint64_t offset) {
  BOOST_OUTCOME_TRY(Flush());
  BOOST_OUTCOME_TRY(head, file_.Read(offset, kRecordHeaderBytes));
  const auto header = ParseHeader(head);
  if (!header) return DamagedRecord(path(), offset, "");
  BOOST_OUTCOME_TRY(record, file_.Read(offset + kRecordHeaderBytes, header->length));
  if (!Matches(*header, offset, record)) return DamagedRecord(path(), offset, "");
  return std::move(record);
}

Result<void> RecordLog::Scan(const Visitor& visit) {
  BOOST_OUTCOME_TRY(Flush());
  BOOST_OUTCOME_TRY(end, VisitRecords(file_, written_, visit));
  if (end != written_) return DamagedRecord(path(), end, "");
  return Ok();
}

Result<void> RecordLog::Rewrite(const Filler& fill) {
  BOOST_OUTCOME_TRY(CheckUsable());
  return RecordFailure(ReplaceBy(fill));
}

Result<void> RecordLog::ReplaceBy(const Filler& fill) {
  std::string name = path();
  BOOST_OUTCOME_TRY(fresh, CreateAt(ops_, TemporaryPath(name)));
  BOOST_OUTCOME_TRY(fill(fresh));
  BOOST_OUTCOME_TRY(fresh.Sync());
  BOOST_OUTCOME_TRY(fresh.file_.RenameTo(std::move(name)));
  *this = std::move(fresh);
  return Ok();
}

}  // namespace wagtailpick::storage
