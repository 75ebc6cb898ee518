#include "replica/replica_disk.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <system_error>
#include <utility>

#include "base/printable_text.h"
#include "consensus/replica.h"
#include "storage/file_ops.h"

namespace wagtailpick::replica {
namespace {

using base::ErrorCode;
using base::Fail;
using base::Result;

/// Incarnation of the disks with which a group is created.
constexpr std::uint64_t kFirstIncarnation = 1;

storage::Snapshot ToStored(const consensus::Snapshot& snapshot) {
  return {{snapshot.index, snapshot.term},
          snapshot.membership.Encode(),
          snapshot.data == nullptr ? std::string() : *snapshot.data};
}

Result<consensus::Snapshot> FromStored(const storage::Snapshot& stored) {
  BOOST_OUTCOME_TRY(membership, consensus::Membership::Parse(stored.configuration));
  consensus::Snapshot snapshot;
  snapshot.index = stored.last.index;
  snapshot.term = stored.last.term;
  snapshot.membership = std::move(membership);
  snapshot.data = std::make_shared<const std::string>(stored.data);
  return snapshot;
}

// The store keeps a vote as one string. The last line feed is the separator, so that any name,
// which comes from another process, can be read back.
std::string EncodeVote(const consensus::ReplicaKey& key) {
  return key.name.empty() ? "" : key.name + "\n" + std::to_string(key.incarnation);
}

/// Reads a vote from the log at `path`. An unreadable vote is an error and never "has not voted":
/// the replica could vote twice in one term.
Result<consensus::ReplicaKey> DecodeVote(const std::string& path, const std::string& text) {
  if (text.empty()) return consensus::ReplicaKey();
  const auto separator = text.rfind('\n');
  const auto end_of_name = separator == std::string::npos ? text.size() : separator;
  const char* const digits = text.data() + std::min(end_of_name + 1, text.size());
  const char* const end = text.data() + text.size();
  consensus::ReplicaKey key{text.substr(0, end_of_name), 0};
  const auto parsed = std::from_chars(digits, end, key.incarnation);
  if (key.name.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return Fail(ErrorCode::kCorrupt, path + ": the vote \"" + base::ToPrintable(text) +
                                         "\" is not a replica's name, a line feed and its "
                                         "incarnation");
  }
  return key;
}

/// Reads the kind of an entry of the log at `path`. An entry of an unknown kind would be skipped
/// when it is applied.
Result<consensus::EntryKind> KindOf(const std::string& path, const storage::LogEntry& entry) {
  if (entry.kind > static_cast<std::uint32_t>(consensus::EntryKind::kMembership)) {
    return Fail(ErrorCode::kCorrupt, path + ": the entry at index " + std::to_string(entry.index) +
                                         " has the unknown kind " + std::to_string(entry.kind));
  }
  return static_cast<consensus::EntryKind>(entry.kind);
}

/// Creates the empty stores of a folder.
Result<void> CreateStores(const storage::FileOpsPtr& ops, const storage::DataFolder& folder) {
  BOOST_OUTCOME_TRY(storage::LogStore::Create(ops, folder.log_path()));
  BOOST_OUTCOME_TRY(storage::ClaimLog::Create(ops, folder.claims_path()));
  return base::Ok();
}

}  // namespace

Result<void> ReplicaDisk::InitGroup(const std::string& folder_path, const std::string& self,
                                    const std::vector<std::string>& members) {
  const auto ops = storage::PosixFileOps();
  BOOST_OUTCOME_TRY(folder, storage::DataFolder::Open(ops, folder_path, self));
  if (folder.state() != storage::FolderState::kNew) {
    return Fail(ErrorCode::kConflict, folder_path + ": the data folder was set up before");
  }
  BOOST_OUTCOME_TRY(folder.BeginSetUp(kFirstIncarnation));
  BOOST_OUTCOME_TRY(CreateStores(ops, folder));
  const auto initial = consensus::Replica::InitialState(members);
  storage::SnapshotStore snapshots(ops, folder.snapshot_path());
  BOOST_OUTCOME_TRY(snapshots.Save(ToStored(*initial.snapshot)));
  return folder.FinishSetUp();
}

Result<ReplicaDisk> ReplicaDisk::Open(const std::string& folder_path, const std::string& self,
                                      std::uint64_t new_incarnation,
                                      const storage::FileOpsPtr& ops) {
  BOOST_OUTCOME_TRY(folder, storage::DataFolder::Open(ops, folder_path, self));
  if (folder.state() == storage::FolderState::kNew) {
    BOOST_OUTCOME_TRY(folder.BeginSetUp(new_incarnation));
    BOOST_OUTCOME_TRY(CreateStores(ops, folder));
    BOOST_OUTCOME_TRY(folder.FinishSetUp());
  }
  BOOST_OUTCOME_TRY(log, storage::LogStore::Open(ops, folder.log_path()));
  std::vector<std::string> records;
  std::vector<std::uint64_t> offsets;
  BOOST_OUTCOME_TRY(claims, storage::ClaimLog::Open(
                                ops, folder.claims_path(),
                                [&](std::uint64_t offset, std::string_view bytes) -> Result<void> {
                                  records.emplace_back(bytes);
                                  offsets.push_back(offset);
                                  return base::Ok();
                                }));
  storage::SnapshotStore snapshots(ops, folder.snapshot_path());
  ReplicaDisk disk(std::move(folder), std::move(log), std::move(snapshots), std::move(claims));
  disk.claim_records_ = std::move(records);
  disk.claim_offsets_ = std::move(offsets);
  BOOST_OUTCOME_TRY(disk.Recover());
  return disk;
}

ReplicaDisk::ReplicaDisk(storage::DataFolder folder, storage::LogStore log,
                         storage::SnapshotStore snapshots, storage::ClaimLog claims)
    : folder_(std::move(folder)),
      log_(std::move(log)),
      snapshots_(std::move(snapshots)),
      claims_(std::move(claims)) {}

Result<void> ReplicaDisk::Recover() {
  BOOST_OUTCOME_TRY(stored, snapshots_.Load());
  if (stored) {
    last_snapshot_ = stored->last;
    BOOST_OUTCOME_TRY(snapshot, FromStored(*stored));
    recovered_.snapshot = std::move(snapshot);
  }
  BOOST_OUTCOME_TRY(vote, DecodeVote(folder_.log_path(), log_.hard_state().voted_for));
  recovered_.hard_state = {log_.hard_state().term, std::move(vote)};
  BOOST_OUTCOME_TRY(entries, log_.ReadAll());
  for (auto& entry : entries) {
    BOOST_OUTCOME_TRY(kind, KindOf(folder_.log_path(), entry));
    recovered_.entries.push_back({entry.index, entry.term, kind, std::move(entry.data)});
  }
  return base::Ok();
}

Result<void> ReplicaDisk::WriteHardState(const consensus::HardState& state) {
  return log_.SetHardState({state.term, EncodeVote(state.voted_for), folder_.incarnation()});
}

Result<void> ReplicaDisk::TrimLog(const consensus::SyncBatch& batch) {
  if (batch.drop_log) {
    if (log_.last_index() >= log_.first_index()) {
      BOOST_OUTCOME_TRY(log_.TruncateFrom(log_.first_index()));
    }
    return log_.TrimTo(last_snapshot_);
  }
  if (batch.trim_through < log_.first_index()) return base::Ok();
  BOOST_OUTCOME_TRY(entry, log_.Read(batch.trim_through));
  return log_.TrimTo({entry.index, entry.term});
}

Result<void> ReplicaDisk::Write(const consensus::SyncBatch& batch) {
  if (batch.hard_state) {
    BOOST_OUTCOME_TRY(WriteHardState(*batch.hard_state));
  }
  if (batch.snapshot) {
    // The snapshot replaces log entries, so the hard state that precedes it must be on disk first.
    BOOST_OUTCOME_TRY(log_.Sync());
    BOOST_OUTCOME_TRY(snapshots_.Save(ToStored(*batch.snapshot)));
    last_snapshot_ = {batch.snapshot->index, batch.snapshot->term};
  }
  if (batch.drop_log || batch.trim_through > 0) {
    BOOST_OUTCOME_TRY(TrimLog(batch));
  }
  if (!batch.entries.empty()) {
    const std::uint64_t first = batch.entries.front().index;
    if (first <= log_.last_index()) {
      BOOST_OUTCOME_TRY(log_.TruncateFrom(first));
    }
    std::vector<storage::LogEntry> entries;
    entries.reserve(batch.entries.size());
    for (const auto& entry : batch.entries) {
      entries.push_back(
          {entry.index, entry.term, static_cast<std::uint32_t>(entry.kind), entry.data});
    }
    BOOST_OUTCOME_TRY(log_.Append(entries));
  }
  return log_.Sync();
}

}  // namespace wagtailpick::replica
