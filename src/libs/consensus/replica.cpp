#include "consensus/replica.h"

#include <array>
#include <utility>

#include "base/enum_names.h"
#include "consensus/core.h"

namespace wagtailpick::consensus {
namespace {

constexpr std::array<base::EnumName<Role>, 4> kRoleNames{{
    {Role::kFollower, "follower"},
    {Role::kPreCandidate, "pre_candidate"},
    {Role::kCandidate, "candidate"},
    {Role::kLeader, "leader"},
}};

/// The log as recovered from disk, and whether the stored entries must be dropped.
struct RecoveredLog {
  Log log;
  bool drop_stored = false;
};

// Whether the stored entries continue the snapshot. They do not after a crash between storing a
// leader's snapshot and dropping the log. They can then be dropped, as they were never acknowledged
// after the snapshot.
bool ContinuesSnapshot(const std::vector<Entry>& entries, const Snapshot& snapshot) {
  if (entries.empty()) return true;
  if (entries.back().index < snapshot.index) return false;
  if (entries.front().index > snapshot.index) return entries.front().index == snapshot.index + 1;
  return entries[snapshot.index - entries.front().index].term == snapshot.term;
}

base::Result<RecoveredLog> RecoverLog(const Snapshot& snapshot, std::vector<Entry> entries) {
  RecoveredLog recovered{Log(snapshot)};
  for (std::size_t i = 1; i < entries.size(); ++i) {
    if (entries[i].index != entries[i - 1].index + 1 || entries[i].term < entries[i - 1].term) {
      return base::Fail(
          base::ErrorCode::kCorrupt,
          "recovered log: entry " + std::to_string(entries[i].index) + " is out of order");
    }
  }
  if (!entries.empty() && entries.front().index > snapshot.index + 1) {
    return base::Fail(base::ErrorCode::kCorrupt,
                      "recovered log: entries after the snapshot at index " +
                          std::to_string(snapshot.index) + " are missing");
  }
  if (!ContinuesSnapshot(entries, snapshot)) {
    recovered.drop_stored = true;
    return recovered;
  }
  for (Entry& entry : entries) {
    if (entry.index <= snapshot.index) continue;
    BOOST_OUTCOME_TRY(recovered.log.Append(std::move(entry)));
  }
  return recovered;
}

}  // namespace

std::string_view ToString(Role role) { return base::NameOf(kRoleNames, role); }

base::Result<Replica> Replica::Create(Options options, RecoveredState recovered,
                                      base::MonotonicTime now) {
  BOOST_OUTCOME_TRY(Validate(options));
  Snapshot snapshot = recovered.snapshot.value_or(Snapshot{});
  BOOST_OUTCOME_TRY(stored, RecoverLog(snapshot, std::move(recovered.entries)));
  if (stored.log.last_term() > recovered.hard_state.term) {
    return base::Fail(base::ErrorCode::kCorrupt, "recovered log: last entry is of term " +
                                                     std::to_string(stored.log.last_term()) +
                                                     ", but the stored term is " +
                                                     std::to_string(recovered.hard_state.term));
  }
  return Replica(std::make_unique<Core>(std::move(options), std::move(recovered.hard_state),
                                        std::move(snapshot), std::move(stored.log),
                                        stored.drop_stored, now));
}

RecoveredState Replica::InitialState(const std::vector<std::string>& names) {
  std::vector<Member> members;
  members.reserve(names.size());
  for (const std::string& name : names) members.push_back({{name, 1}, MemberRole::kVoter});
  RecoveredState state;
  state.snapshot = Snapshot{0, 0, Membership(std::move(members)), nullptr};
  return state;
}

Replica::Replica(std::unique_ptr<Core> core) : core_(std::move(core)) {}
Replica::Replica(Replica&&) noexcept = default;
Replica& Replica::operator=(Replica&&) noexcept = default;
Replica::~Replica() = default;

void Replica::Step(const Message& message, base::MonotonicTime now) { core_->Step(message, now); }

void Replica::Tick(base::MonotonicTime now) { core_->Tick(now); }

base::Result<Position> Replica::Propose(std::string data, base::MonotonicTime now) {
  return core_->Propose(std::move(data), now);
}

base::Result<Position> Replica::ProposeChange(const MembershipChange& change,
                                              base::MonotonicTime now) {
  return core_->ProposeChange(change, now);
}

base::Result<void> Replica::TakeSnapshot(std::uint64_t index, std::string data) {
  return core_->TakeSnapshot(index, std::move(data));
}

void Replica::AddPeers(const std::vector<std::string>& names) { core_->AddPeers(names); }

Output Replica::ConsumeOutput(bool may_write) { return core_->ConsumeOutput(may_write); }

void Replica::Synced(std::uint64_t id, base::MonotonicTime now) { core_->Synced(id, now); }

void Replica::SyncFailed() { core_->Stop(base::ErrorCode::kIo, "a write or sync failed"); }

void Replica::Halt(base::Error fault) { core_->Stop(fault.code, std::move(fault.message)); }

bool Replica::LedSince(base::MonotonicTime since, base::MonotonicTime now) const {
  return core_->LedSince(since, now);
}

bool Replica::HasLease(base::MonotonicTime now) const { return core_->HasLease(now); }

std::optional<ReplicaKey> Replica::LeaderHint() const { return core_->LeaderHint(); }

Role Replica::role() const { return core_->role(); }

std::uint64_t Replica::term() const { return core_->term(); }

std::uint64_t Replica::commit_index() const { return core_->commit_index(); }

std::uint64_t Replica::last_index() const { return core_->last_index(); }

std::uint64_t Replica::snapshot_index() const { return core_->snapshot_index(); }

const Membership& Replica::membership() const { return core_->membership(); }

const std::optional<base::Error>& Replica::fault() const { return core_->fault(); }

}  // namespace wagtailpick::consensus
