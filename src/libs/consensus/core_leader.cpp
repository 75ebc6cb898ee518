#include <algorithm>
#include <functional>
#include <limits>
#include <string>
#include <utility>

#include "consensus/core.h"

namespace wagtailpick::consensus {
namespace {

// Returns the highest value that a majority of `values` reaches, or `none` without values.
template <typename T>
T MajorityValue(std::vector<T> values, T none) {
  if (values.empty()) return none;
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

}  // namespace

base::Result<void> Core::CheckLeading() const {
  if (fault_) {
    return base::Fail(base::ErrorCode::kUnavailable, "replica has stopped: " + fault_->message);
  }
  if (role_ != Role::kLeader) return base::Fail(base::ErrorCode::kUnavailable, "not the leader");
  return base::Ok();
}

base::Result<Position> Core::Propose(std::string data, base::MonotonicTime now) {
  AdvanceClock(now);
  BOOST_OUTCOME_TRY(CheckLeading());
  if (data.size() > options_.max_entry_bytes) {
    return base::Fail(base::ErrorCode::kLimitExceeded,
                      "proposal of " + std::to_string(data.size()) + " bytes, at most " +
                          std::to_string(options_.max_entry_bytes) + " are allowed");
  }
  if (uncommitted_bytes_ + data.size() > options_.max_uncommitted_bytes) {
    return base::Fail(base::ErrorCode::kLimitExceeded,
                      "proposal of " + std::to_string(data.size()) + " bytes: " +
                          std::to_string(uncommitted_bytes_) + " bytes are uncommitted, at most " +
                          std::to_string(options_.max_uncommitted_bytes) + " are allowed");
  }
  return AppendAsLeader(EntryKind::kData, std::move(data));
}

Position Core::AppendAsLeader(EntryKind kind, std::string data) {
  const Position position{log_.last_index() + 1, hard_state_.term};
  Entry entry{position.index, position.term, kind, std::move(data)};
  uncommitted_bytes_ += SizeOf(entry);
  const auto appended = log_.Append(std::move(entry));
  if (!appended) Stop(appended.error().code, appended.error().message);
  tracker_.MarkEntriesFrom(position.index);
  return position;
}

// Returns the send time of the newest messages that a quorum of voters, this one included, has
// answered.
base::MonotonicTime Core::QuorumAnsweredAt(base::MonotonicTime now) const {
  std::vector<base::MonotonicTime> times;
  for (const Member& member : log_.membership().members()) {
    if (member.role != MemberRole::kVoter) continue;
    const auto progress = progress_.find(member.key);
    times.push_back(progress == progress_.end() ? now : progress->second.answered_sent_at());
  }
  return MajorityValue(std::move(times), base::MonotonicTime::min());
}

bool Core::HasLease(base::MonotonicTime now) const {
  if (role_ != Role::kLeader || emitted_ < term_start_index_) return false;
  return now < QuorumAnsweredAt(now) + options_.leader_lease;
}

bool Core::LedSince(base::MonotonicTime since, base::MonotonicTime now) const {
  if (role_ != Role::kLeader || emitted_ < term_start_index_) return false;
  return QuorumAnsweredAt(now) > since;
}

// Whether this leader's disk has lacked committed entries for so long that it should step down. It
// can apply entries only once they are on its own disk, so with a stalled disk another leader
// answers sooner.
bool Core::OwnDiskLags() {
  if (commit_ <= tracker_.synced_index()) {
    disk_lags_since_.reset();
    return false;
  }
  if (!disk_lags_since_) disk_lags_since_ = now_;
  return now_ - *disk_lags_since_ > options_.election_timeout_min;
}

void Core::TickLeader() {
  const base::MonotonicTime answered = std::max(elected_at_, QuorumAnsweredAt(now_));
  const bool lost_quorum = now_ - answered > options_.election_timeout_min;
  if (lost_quorum || OwnDiskLags()) return BecomeFollower(hard_state_.term, std::nullopt);
  if (now_ < resend_due_) return;
  resend_due_ = now_ + options_.heartbeat_interval;
  heartbeat_pending_ = true;
  for (auto& [key, progress] : progress_) progress.AllowProbe();
}

void Core::OnAppendReply(const Message& message) {
  const auto found = progress_.find(message.from);
  if (role_ != Role::kLeader || found == progress_.end()) return;
  Progress& progress = found->second;
  progress.RecordAnswer(std::min(now_, base::MonotonicTime(base::Duration(message.sent_at))));
  if (!message.accepted) return progress.Reject(message.log_index, message.match);
  if (message.match > log_.last_index()) return;
  progress.Accept(message.log_index, message.match);
  PromoteIfCaughtUp(message.from, progress);
  AdvanceCommit();
}

void Core::OnSnapshotReply(const Message& message) {
  const auto found = progress_.find(message.from);
  if (role_ != Role::kLeader || found == progress_.end()) return;
  found->second.RecordAnswer(std::min(now_, base::MonotonicTime(base::Duration(message.sent_at))));
  found->second.RecordSnapshotOffset(message.chunk.index, message.chunk.offset);
}

// Only an entry of the leader's own term is committed by counting replicas, and with it all entries
// before it. An entry of an older term can still be replaced although a majority has it.
void Core::AdvanceCommit() {
  std::vector<std::uint64_t> matches;
  for (const Member& member : log_.membership().members()) {
    if (member.role != MemberRole::kVoter) continue;
    const auto progress = progress_.find(member.key);
    matches.push_back(progress == progress_.end() ? tracker_.synced_index()
                                                  : progress->second.match());
  }
  const std::uint64_t agreed = MajorityValue(std::move(matches), std::uint64_t{0});
  if (agreed <= commit_ || log_.TermAt(agreed) != hard_state_.term) return;
  for (std::uint64_t index = commit_ + 1; index <= agreed; ++index) {
    uncommitted_bytes_ -= std::min(uncommitted_bytes_, SizeOf(log_.At(index)));
  }
  commit_ = agreed;
  const bool removed = log_.membership().Find(options_.self) == nullptr;
  if (removed && log_.membership_index() <= commit_) {
    BecomeFollower(hard_state_.term, std::nullopt);
  }
}

void Core::SendEntries() {
  for (auto& [key, progress] : progress_) {
    // Incarnation 0 stands for a replica whose join request has not arrived yet.
    if (key.incarnation != 0) SendTo(key, progress);
  }
  heartbeat_pending_ = false;
}

void Core::SendTo(const ReplicaKey& to, Progress& progress) {
  bool sent = false;
  while (progress.next() <= log_.last_index() && progress.CanSend(options_.max_inflight_messages)) {
    if (!SendAppend(to, progress, true)) break;
    sent = true;
  }
  if (progress.state() == ProgressState::kSnapshot &&
      progress.IsSnapshotDue(now_, options_.retry_interval)) {
    SendSnapshotChunk(to, progress);
  }
  if (heartbeat_pending_ && !sent) SendAppend(to, progress, false);
}

// Returns false when the entries to send were trimmed, so that a snapshot has to be sent instead.
// While a snapshot is sent, heartbeats refer to position 0, which matches every log.
bool Core::SendAppend(const ReplicaKey& to, Progress& progress, bool with_entries) {
  Message message = MakeMessage(MessageKind::kAppend, to);
  message.commit = commit_;
  message.sent_at = now_.time_since_epoch().count();
  if (progress.state() != ProgressState::kSnapshot) {
    message.log_index = progress.next() - 1;
    const auto term = log_.TermAt(message.log_index);
    if (!term) {
      progress.BecomeSnapshot(snapshot_);
      return false;
    }
    message.log_term = *term;
    if (with_entries) {
      message.entries = log_.Slice(progress.next(), log_.last_index(), options_.max_append_bytes);
    }
    progress.RecordSent(message.log_index + message.entries.size());
  }
  Send(std::move(message));
  return true;
}

void Core::SendSnapshotChunk(const ReplicaKey& to, Progress& progress) {
  const Snapshot& snapshot = progress.snapshot();
  const std::size_t size = snapshot.data ? snapshot.data->size() : 0;
  Message message = MakeMessage(MessageKind::kSnapshot, to);
  message.sent_at = now_.time_since_epoch().count();
  message.chunk.index = snapshot.index;
  message.chunk.term = snapshot.term;
  message.chunk.membership = snapshot.membership.Encode();
  message.chunk.offset = std::min<std::uint64_t>(progress.snapshot_offset(), size);
  if (size > 0) {
    message.chunk.data =
        snapshot.data->substr(message.chunk.offset, options_.max_snapshot_chunk_bytes);
  }
  message.chunk.last = message.chunk.offset + message.chunk.data.size() == size;
  progress.RecordSnapshotSent(now_);
  Send(std::move(message));
}

}  // namespace wagtailpick::consensus
