#include "storage/log_store.h"

#include <utility>

#include "storage/record_format.h"

namespace wagtailpick::storage {
namespace {

using base::ErrorCode;
using base::Fail;
using base::Ok;
using base::Result;

std::string DescribeIndex(std::uint64_t index) { return "log index " + std::to_string(index); }

}  // namespace

Result<LogStore> LogStore::Create(FileOpsPtr ops, std::string path,
                                  std::uint64_t compaction_floor) {
  BOOST_OUTCOME_TRY(log, RecordLog::Create(std::move(ops), std::move(path)));
  LogStore store(compaction_floor);
  store.log_ = std::make_unique<RecordLog>(std::move(log));
  return store;
}

Result<LogStore> LogStore::Open(FileOpsPtr ops, std::string path, std::uint64_t compaction_floor) {
  LogStore store(compaction_floor);
  const std::string name = path;
  const auto replay = [&](std::uint64_t offset, std::string_view bytes) -> Result<void> {
    const auto replayed = store.Replay(offset, bytes);
    if (!replayed.has_error()) return Ok();
    return Fail(ErrorCode::kCorrupt,
                name + ": offset " + std::to_string(offset) + ": " + replayed.error().message);
  };
  BOOST_OUTCOME_TRY(log, RecordLog::Open(std::move(ops), std::move(path), replay));
  store.log_ = std::make_unique<RecordLog>(std::move(log));
  return store;
}

Result<void> LogStore::Replay(std::uint64_t offset, std::string_view bytes) {
  BOOST_OUTCOME_TRY(record, DecodeLogRecord(bytes));
  if (const auto* entry = std::get_if<LogEntry>(&record)) {
    return AddLocation(*entry, offset, kRecordHeaderBytes + bytes.size());
  }
  if (const auto* truncate = std::get_if<TruncateRecord>(&record)) RemoveFrom(truncate->index);
  if (const auto* trim = std::get_if<TrimRecord>(&record)) RemoveThrough(trim->last);
  if (auto* state = std::get_if<HardState>(&record)) hard_state_ = std::move(*state);
  return Ok();
}

bool LogStore::Contains(std::uint64_t index) const {
  return index >= first_index() && index <= last_index();
}

Result<void> LogStore::AddLocation(const LogEntry& entry, std::uint64_t offset,
                                   std::uint64_t bytes) {
  if (entry.index != last_index() + 1) {
    return Fail(ErrorCode::kInvalidArgument,
                DescribeIndex(entry.index) + " does not follow " + std::to_string(last_index()));
  }
  locations_.push_back({offset, entry.term, bytes});
  live_bytes_ += bytes;
  return Ok();
}

void LogStore::RemoveFrom(std::uint64_t index) {
  while (last_index() >= index && !locations_.empty()) {
    live_bytes_ -= locations_.back().bytes;
    locations_.pop_back();
  }
}

void LogStore::RemoveThrough(LogPosition last) {
  if (last.index <= trimmed_.index) return;
  const bool keep_rest =
      Contains(last.index) && locations_[last.index - first_index()].term == last.term;
  if (!keep_rest) RemoveFrom(first_index());
  for (; !locations_.empty() && trimmed_.index < last.index; ++trimmed_.index) {
    live_bytes_ -= locations_.front().bytes;
    locations_.pop_front();
  }
  trimmed_ = last;
}

Result<void> LogStore::Write(const LogRecord& record) {
  BOOST_OUTCOME_TRY(log_->Append(Encode(record)));
  return Ok();
}

Result<void> LogStore::Append(std::span<const LogEntry> entries) {
  std::uint64_t next = last_index();
  for (const auto& entry : entries) {
    if (entry.index != ++next) {
      return Fail(ErrorCode::kInvalidArgument,
                  DescribeIndex(entry.index) + " does not follow " + std::to_string(next - 1));
    }
  }
  for (const auto& entry : entries) {
    const std::string bytes = Encode(entry);
    BOOST_OUTCOME_TRY(offset, log_->Append(bytes));
    BOOST_OUTCOME_TRY(AddLocation(entry, offset, kRecordHeaderBytes + bytes.size()));
  }
  return Ok();
}

Result<void> LogStore::TruncateFrom(std::uint64_t index) {
  if (index < first_index()) {
    return Fail(
        ErrorCode::kInvalidArgument,
        DescribeIndex(index) + " is trimmed, the log starts at " + std::to_string(first_index()));
  }
  if (index > last_index()) return Ok();
  BOOST_OUTCOME_TRY(Write(TruncateRecord{index}));
  RemoveFrom(index);
  return Ok();
}

Result<void> LogStore::TrimTo(LogPosition last) {
  if (last.index <= trimmed_.index) return Ok();
  BOOST_OUTCOME_TRY(Write(TrimRecord{last}));
  RemoveThrough(last);
  if (log_->size() < 2 * live_bytes_ + compaction_floor_) return Ok();
  return Compact();
}

Result<void> LogStore::Compact() {
  std::deque<EntryLocation> moved;
  const auto fill = [&](RecordLog& fresh) -> Result<void> {
    BOOST_OUTCOME_TRY(fresh.Append(Encode(hard_state_)));
    BOOST_OUTCOME_TRY(fresh.Append(Encode(TrimRecord{trimmed_})));
    for (const EntryLocation& location : locations_) {
      BOOST_OUTCOME_TRY(record, log_->Read(location.offset));
      BOOST_OUTCOME_TRY(offset, fresh.Append(record));
      moved.push_back({offset, location.term, location.bytes});
    }
    return Ok();
  };
  BOOST_OUTCOME_TRY(log_->Rewrite(fill));
  locations_ = std::move(moved);
  return Ok();
}

Result<void> LogStore::SetHardState(const HardState& state) {
  BOOST_OUTCOME_TRY(Write(state));
  hard_state_ = state;
  return Ok();
}

Result<void> LogStore::Sync() { return log_->Sync(); }

Result<LogEntry> LogStore::Read(std::uint64_t index) {
  if (!Contains(index)) {
    return Fail(ErrorCode::kNotFound, DescribeIndex(index) + " is not in the log");
  }
  BOOST_OUTCOME_TRY(bytes, log_->Read(locations_[index - first_index()].offset));
  BOOST_OUTCOME_TRY(record, DecodeLogRecord(bytes));
  auto* entry = std::get_if<LogEntry>(&record);
  if (entry == nullptr || entry->index != index) {
    return Fail(ErrorCode::kCorrupt,
                log_->path() + ": " + DescribeIndex(index) + " is not at its recorded offset");
  }
  return std::move(*entry);
}

Result<std::vector<LogEntry>> LogStore::ReadAll() {
  std::vector<LogEntry> entries;
  entries.reserve(locations_.size());
  for (std::uint64_t index = first_index(); index <= last_index(); ++index) {
    BOOST_OUTCOME_TRY(entry, Read(index));
    entries.push_back(std::move(entry));
  }
  return entries;
}

}  // namespace wagtailpick::storage
