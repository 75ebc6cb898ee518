#include "storage/data_folder.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/cbor_check.h"
#include "base/json_number.h"
#include "storage/record_log.h"

namespace wagtailpick::storage {
namespace {

using base::ErrorCode;
using base::Fail;
using base::Ok;
using base::Result;
using nlohmann::json;

struct Marker {
  std::string replica;
  std::uint64_t incarnation = 0;
  bool ready = false;
};

Result<Marker> DecodeMarker(const std::string& path, std::string_view record) {
  const auto checked = base::CheckCbor(record);
  if (!checked) {
    return Fail(ErrorCode::kCorrupt, path + " cannot be read: " + checked.error().message);
  }
  try {
    const json row = json::from_cbor(record.begin(), record.end());
    return Marker{row.at(0).get<std::string>(), base::IntegerFrom<std::uint64_t>(row.at(1)),
                  row.at(2).get<bool>()};
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kCorrupt, path + " cannot be read: " + error.what());
  }
}

Result<Marker> LoadMarker(const FileOpsPtr& ops, const std::string& path) {
  Result<Marker> marker = Fail(ErrorCode::kCorrupt, path + " holds no marker");
  const auto decode = [&](std::uint64_t, std::string_view record) -> Result<void> {
    marker = DecodeMarker(path, record);
    return Ok();
  };
  BOOST_OUTCOME_TRY(RecordLog::Open(ops, path, decode));
  return marker;
}

}  // namespace

DataFolder::DataFolder(FileOpsPtr ops, std::string path, std::string replica, File lock)
    : ops_(std::move(ops)),
      path_(std::move(path)),
      replica_(std::move(replica)),
      lock_(std::move(lock)) {}

Result<DataFolder> DataFolder::Open(FileOpsPtr ops, std::string path, std::string replica) {
  BOOST_OUTCOME_TRY(MakeFolder(*ops, path));
  BOOST_OUTCOME_TRY(lock, File::Open(ops, path + "/lock", OpenMode::kCreate));
  BOOST_OUTCOME_TRY(lock.Lock());
  DataFolder folder(std::move(ops), std::move(path), std::move(replica), std::move(lock));
  BOOST_OUTCOME_TRY(folder.ReadMarker());
  return folder;
}

Result<void> DataFolder::ReadMarker() {
  BOOST_OUTCOME_TRY(exists, Exists(*ops_, marker_path()));
  if (!exists) return FailIfStoresExist();
  BOOST_OUTCOME_TRY(marker, LoadMarker(ops_, marker_path()));
  if (marker.replica != replica_) {
    return Fail(ErrorCode::kInvalidArgument, path_ + " belongs to replica \"" + marker.replica +
                                                 "\", not to \"" + replica_ + "\"");
  }
  if (!marker.ready) return Ok();
  incarnation_ = marker.incarnation;
  state_ = FolderState::kReady;
  return Ok();
}

Result<void> DataFolder::FailIfStoresExist() const {
  for (const auto& store : std::array{log_path(), snapshot_path(), claims_path()}) {
    BOOST_OUTCOME_TRY(exists, Exists(*ops_, store));
    if (!exists) continue;
    return Fail(ErrorCode::kCorrupt,
                store + " exists, but the marker " + marker_path() +
                    " is missing; empty the folder to let the replica join with a new disk");
  }
  return Ok();
}

Result<void> DataFolder::WriteMarker(FolderState state) {
  std::string record;
  json::to_cbor(json::array({replica_, incarnation_, state == FolderState::kReady}), record);
  BOOST_OUTCOME_TRY(log, RecordLog::Create(ops_, marker_path() + ".new"));
  BOOST_OUTCOME_TRY(log.Append(record));
  BOOST_OUTCOME_TRY(log.Sync());
  BOOST_OUTCOME_TRY(ops_->rename(marker_path() + ".new", marker_path()));
  BOOST_OUTCOME_TRY(ops_->sync_folder(path_));
  state_ = state;
  return Ok();
}

Result<void> DataFolder::BeginSetUp(std::uint64_t incarnation) {
  if (state_ == FolderState::kReady) {
    return Fail(ErrorCode::kInvalidArgument, path_ + " is already set up");
  }
  incarnation_ = incarnation;
  return WriteMarker(FolderState::kNew);
}

Result<void> DataFolder::FinishSetUp() {
  if (incarnation_ == 0) {
    return Fail(ErrorCode::kInvalidArgument, path_ + ": the set-up was not started");
  }
  return WriteMarker(FolderState::kReady);
}

}  // namespace wagtailpick::storage
