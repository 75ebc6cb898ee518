#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "consensus/output.h"
#include "storage/claim_log.h"
#include "storage/data_folder.h"
#include "storage/file_ops.h"
#include "storage/log_store.h"
#include "storage/snapshot_store.h"

namespace wagtailpick::replica {

/// The stores of one control replica in its data folder: consensus log, snapshot and claim log. The
/// folder stays locked until this object is destroyed.
class ReplicaDisk {
 public:
  /// Writes the initial state of a new group, with `members` as its voters, into an empty folder.
  /// Fails with `kConflict` when the folder was set up before, and with `kCorrupt` or `kIo`. Must
  /// not be used to replace a lost disk: the replica could then vote twice in one term.
  static base::Result<void> InitGroup(const std::string& folder, const std::string& self,
                                      const std::vector<std::string>& members);

  /// Opens the folder of the replica `self` and reads its state. An empty folder counts as a lost
  /// disk: the replica starts with an empty state under the incarnation `new_incarnation`. Fails
  /// with `kCorrupt`, `kConflict`, `kInvalidArgument` for the folder of another replica, or `kIo`.
  static base::Result<ReplicaDisk> Open(const std::string& folder, const std::string& self,
                                        std::uint64_t new_incarnation,
                                        const storage::FileOpsPtr& ops = storage::PosixFileOps());

  /// Writes a batch of consensus records and syncs it. After an error the state on disk is unknown
  /// until the folder is opened again.
  base::Result<void> Write(const consensus::SyncBatch& batch);

  /// Moves out the consensus state that was read; to be called once after opening.
  consensus::RecoveredState ConsumeRecoveredState() { return std::move(recovered_); }

  /// Incarnation of this replica's disk.
  std::uint64_t incarnation() const { return folder_.incarnation(); }

  /// Moves out the records of the claim log that were read, in file order.
  std::vector<std::string> ConsumeClaimRecords() { return std::move(claim_records_); }

  /// Moves out the file offsets of these records, in bytes.
  std::vector<std::uint64_t> ConsumeClaimOffsets() { return std::move(claim_offsets_); }

  /// Moves out the claim log, for the thread that serves claims.
  storage::ClaimLog ReleaseClaimLog() { return std::move(claims_); }

 private:
  ReplicaDisk(storage::DataFolder folder, storage::LogStore log, storage::SnapshotStore snapshots,
              storage::ClaimLog claims);

  base::Result<void> Recover();
  base::Result<void> WriteHardState(const consensus::HardState& state);
  base::Result<void> TrimLog(const consensus::SyncBatch& batch);

  storage::DataFolder folder_;
  storage::LogStore log_;
  storage::SnapshotStore snapshots_;
  storage::ClaimLog claims_;
  storage::LogPosition last_snapshot_;
  consensus::RecoveredState recovered_;
  std::vector<std::string> claim_records_;
  std::vector<std::uint64_t> claim_offsets_;
};

}  // namespace wagtailpick::replica
