#include "storage/snapshot_store.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/cbor_check.h"
#include "base/json_number.h"
#include "storage/file.h"
#include "storage/record_format.h"

namespace wagtailpick::storage {
namespace {

using base::ErrorCode;
using base::Fail;
using base::Ok;
using base::Result;
using nlohmann::json;

json ToBinary(const std::string& bytes) { return json::binary({bytes.begin(), bytes.end()}); }

std::string FromBinary(const json& value) {
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

std::string Encode(const Snapshot& snapshot) {
  std::string record;
  json::to_cbor(json::array({snapshot.last.index, snapshot.last.term,
                             ToBinary(snapshot.configuration), ToBinary(snapshot.data)}),
                record);
  return record;
}

Result<Snapshot> Decode(std::string_view record) {
  BOOST_OUTCOME_TRY(base::CheckCbor(record));
  try {
    const json row = json::from_cbor(record.begin(), record.end());
    return Snapshot{
        {base::IntegerFrom<std::uint64_t>(row.at(0)), base::IntegerFrom<std::uint64_t>(row.at(1))},
        FromBinary(row.at(2)),
        FromBinary(row.at(3))};
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kCorrupt, std::string("snapshot cannot be decoded: ") + error.what());
  }
}

Result<void> Replace(const FileOpsPtr& ops, const std::string& path, std::string_view bytes) {
  BOOST_OUTCOME_TRY(file, File::Open(ops, TemporaryPath(path), OpenMode::kReplace));
  BOOST_OUTCOME_TRY(file.WriteAll(0, bytes));
  BOOST_OUTCOME_TRY(file.Sync());
  return file.RenameTo(path);
}

// Returns the only record of a file with content `bytes`, or nothing unless the record is intact
// and ends at the end of the file.
std::optional<std::string_view> OnlyRecord(std::string_view bytes) {
  if (!bytes.starts_with(kRecordFileHeader)) return std::nullopt;
  bytes.remove_prefix(kRecordFileHeader.size());
  const auto header = ParseHeader(bytes);
  if (!header) return std::nullopt;
  bytes.remove_prefix(kRecordHeaderBytes);
  if (!Matches(*header, kRecordFileHeader.size(), bytes)) return std::nullopt;
  return bytes;
}

}  // namespace

SnapshotStore::SnapshotStore(FileOpsPtr ops, std::string path)
    : ops_(std::move(ops)), path_(std::move(path)) {}

Result<void> SnapshotStore::CheckUsable() const {
  if (!failure_) return Ok();
  return Fail(ErrorCode::kIo, path_ + " is unusable after a failure: " + failure_->message);
}

Result<void> SnapshotStore::Save(const Snapshot& snapshot) {
  BOOST_OUTCOME_TRY(CheckUsable());
  const std::string record = Encode(snapshot);
  if (record.size() > kMaxRecordBytes) {
    return Fail(ErrorCode::kLimitExceeded, path_ + ": snapshot of " +
                                               std::to_string(record.size()) + " bytes, at most " +
                                               std::to_string(kMaxRecordBytes) + " are allowed");
  }
  std::string bytes(kRecordFileHeader);
  AppendFramed(bytes, bytes.size(), record);
  return RecordFailure(Replace(ops_, path_, bytes));
}

Result<std::optional<Snapshot>> SnapshotStore::Load() {
  BOOST_OUTCOME_TRY(CheckUsable());
  BOOST_OUTCOME_TRY(TruncateTemporary(ops_, path_));
  BOOST_OUTCOME_TRY(exists, Exists(*ops_, path_));
  if (!exists) return std::nullopt;
  BOOST_OUTCOME_TRY(bytes, ReadDurable());
  const auto record = OnlyRecord(bytes);
  if (!record) {
    return Fail(ErrorCode::kCorrupt,
                path_ + ": damaged snapshot of " + std::to_string(bytes.size()) +
                    " bytes, record at offset " + std::to_string(kRecordFileHeader.size()));
  }
  BOOST_OUTCOME_TRY(snapshot, Decode(*record));
  return std::optional(std::move(snapshot));
}

// Syncs file and folder before reading, as an earlier process may have died between the rename and
// the sync of the folder. The log is trimmed up to the snapshot returned here, so a crash must not
// bring back the older one.
Result<std::string> SnapshotStore::ReadDurable() {
  BOOST_OUTCOME_TRY(file, File::Open(ops_, path_, OpenMode::kExisting));
  BOOST_OUTCOME_TRY(RecordFailure(file.Sync()));
  BOOST_OUTCOME_TRY(RecordFailure(file.SyncFolder()));
  BOOST_OUTCOME_TRY(size, file.Size());
  return file.Read(0, size);
}

Result<void> SnapshotStore::RecordFailure(Result<void> result) {
  if (result.has_error()) failure_ = result.error();
  return result;
}

}  // namespace wagtailpick::storage
