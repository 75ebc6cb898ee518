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

/// What one control replica keeps on its disk.
class ReplicaDisk {
 public:
  /// Writes the first state of a new group into an empty folder: `members` are its voters. Fails
  /// with `kConflict` when the folder was set up before: doing it again after a disk was lost would
  /// let the replica vote as if it remembered.
  static base::Result<void> InitGroup(const std::string& folder, const std::string& self,
                                      const std::vector<std::string>& members);

  /// Opens the folder of the replica `self`. An empty folder counts as a lost disk: the replica
  /// gets a new incarnation, `new_incarnation`, and an empty state. Fails with `kCorrupt`,
  /// `kConflict` or `kIo`.
  static base::Result<ReplicaDisk> Open(const std::string& folder, const std::string& self,
                                        std::uint64_t new_incarnation,
                                        const storage::FileOpsPtr& ops = storage::PosixFileOps());

  /// Writes a batch of consensus records and syncs it.
  base::Result<void> Write(const consensus::SyncBatch& batch);

  /// What the replica starts from; read once after opening.
  consensus::RecoveredState ConsumeRecoveredState() { return std::move(recovered_); }

  std::uint64_t incarnation() const { return folder_.incarnation(); }

  /// Records of the claim log that were found, in order.
  std::vector<std::string> ConsumeClaimRecords() { return std::move(claim_records_); }

  /// Offsets of those records.
  std::vector<std::uint64_t> ConsumeClaimOffsets() { return std::move(claim_offsets_); }

  /// Hands the claim log to the thread that serves claims.
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
