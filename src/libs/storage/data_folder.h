#pragma once

#include <cstdint>
#include <string>

#include "base/result.h"
#include "storage/file.h"

namespace wagtailpick::storage {

/// Whether a data folder holds the state that its replica acknowledged.
enum class FolderState {
  /// Empty, or its set-up was interrupted: nothing in it was ever acknowledged. For a replica that
  /// is already a member this means that its disk was lost.
  kNew,
  /// Set up; all stores must exist.
  kReady,
};

/// The data folder of one replica, locked by this process. A marker file in it holds the replica's
/// name, its incarnation and whether the set-up is finished.
class DataFolder {
 public:
  /// Creates the folder when it is missing and locks it. Fails with `kConflict` when another
  /// process holds the lock, with `kInvalidArgument` when the folder belongs to another replica,
  /// with `kCorrupt` when the marker is damaged or is missing while store files exist, and with
  /// `kIo` when a file operation fails.
  static base::Result<DataFolder> Open(FileOpsPtr ops, std::string path, std::string replica);

  /// Starts the set-up of a new folder under `incarnation`; the caller creates the stores next.
  /// Fails with `kInvalidArgument` when the folder is already set up.
  base::Result<void> BeginSetUp(std::uint64_t incarnation);

  /// Ends the set-up, after the stores have been created. Fails with `kInvalidArgument` when the
  /// set-up was not started.
  base::Result<void> FinishSetUp();

  FolderState state() const { return state_; }

  /// Incarnation of the replica in this folder; 0 when the folder is new.
  std::uint64_t incarnation() const { return incarnation_; }

  std::string log_path() const { return path_ + "/log"; }
  std::string snapshot_path() const { return path_ + "/snapshot"; }
  std::string claims_path() const { return path_ + "/claims"; }

 private:
  DataFolder(FileOpsPtr ops, std::string path, std::string replica, File lock);
  std::string marker_path() const { return path_ + "/replica"; }
  base::Result<void> ReadMarker();
  base::Result<void> FailIfStoresExist() const;
  base::Result<void> WriteMarker(FolderState state);

  FileOpsPtr ops_;
  std::string path_;
  std::string replica_;
  File lock_;
  FolderState state_ = FolderState::kNew;
  std::uint64_t incarnation_ = 0;
};

}  // namespace wagtailpick::storage
