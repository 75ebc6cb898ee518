#include "consensus/core.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::consensus {
namespace {

bool IsVoteRequest(MessageKind kind) {
  return kind == MessageKind::kPreVote || kind == MessageKind::kVote;
}

// Whether the message's term is that of an intended election, which no replica has entered yet.
bool HasProspectiveTerm(const Message& message) {
  return message.kind == MessageKind::kPreVote ||
         (message.kind == MessageKind::kPreVoteReply && message.accepted);
}

bool IsWellFormed(const Message& message) {
  std::uint64_t index = message.log_index;
  std::uint64_t term = message.log_term;
  for (const Entry& entry : message.entries) {
    if (entry.index != ++index || entry.term < term || entry.term > message.term) return false;
    if (entry.kind == EntryKind::kMembership && !Membership::Parse(entry.data)) return false;
    term = entry.term;
  }
  return true;
}

}  // namespace

Core::Core(Options options, HardState hard_state, Snapshot snapshot, Log log, bool drop_log,
           base::MonotonicTime now)
    : options_(std::move(options)),
      started_at_(now),
      peers_(options_.peers.begin(), options_.peers.end()),
      hard_state_(std::move(hard_state)),
      snapshot_(std::move(snapshot)),
      log_(std::move(log)),
      tracker_(log_.last_index()),
      assembly_(options_.max_snapshot_bytes),
      now_(now),
      resend_due_(now),
      commit_(snapshot_.index),
      restore_pending_(snapshot_.index > 0),
      elected_at_(now) {
  if (drop_log) tracker_.MarkDropLog();
  ResetElectionTimer();
}

void Core::AdvanceClock(base::MonotonicTime now) { now_ = std::max(now_, now); }

// Whether the message is addressed to this replica and comes from another one. Messages to or from
// an older incarnation, whose disk no longer exists, are rejected.
bool Core::HasCurrentAddresses(const Message& message) const {
  if (message.from.name == options_.self.name) return false;
  const bool any_incarnation = message.kind == MessageKind::kJoin && message.to.incarnation == 0;
  if (message.to != options_.self && !(any_incarnation && message.to.name == options_.self.name)) {
    return false;
  }
  const Member* known = log_.membership().FindName(message.from.name);
  return known == nullptr || message.from.incarnation >= known->key.incarnation;
}

// Whether a higher term in the message is adopted. Replies count only from members; requests count
// from all replicas, as a new leader or candidate may not be in this replica's log yet.
bool Core::MayRaiseTerm(const Message& message) const {
  if (HasProspectiveTerm(message) || message.kind == MessageKind::kJoin) return false;
  const bool request = message.kind == MessageKind::kVote || message.kind == MessageKind::kAppend ||
                       message.kind == MessageKind::kSnapshot;
  return request || log_.membership().Find(message.from) != nullptr;
}

void Core::Step(const Message& message, base::MonotonicTime now) {
  AdvanceClock(now);
  if (fault_ || !HasCurrentAddresses(message) || !IsWellFormed(message)) return;
  if (message.kind == MessageKind::kJoin) return OnJoin(message);
  if (IsVoteRequest(message.kind) && IsWithinVoteSilence()) return;
  if (message.term > hard_state_.term && !HasProspectiveTerm(message)) {
    if (!MayRaiseTerm(message)) return;
    BecomeFollower(message.term, std::nullopt);
  }
  if (message.term < hard_state_.term) return ReplyWithTerm(message);
  Dispatch(message);
}

void Core::Dispatch(const Message& message) {
  switch (message.kind) {
    case MessageKind::kPreVote:
      return OnPreVote(message);
    case MessageKind::kVote:
      return OnVote(message);
    case MessageKind::kPreVoteReply:
    case MessageKind::kVoteReply:
      return OnVoteReply(message);
    case MessageKind::kAppend:
      return OnAppend(message);
    case MessageKind::kAppendReply:
      return OnAppendReply(message);
    case MessageKind::kSnapshot:
      return OnSnapshot(message);
    case MessageKind::kSnapshotReply:
      return OnSnapshotReply(message);
    case MessageKind::kJoin:
      return;
  }
}

// Informs a leader or candidate of an older term about the newer one.
void Core::ReplyWithTerm(const Message& message) {
  switch (message.kind) {
    case MessageKind::kPreVote:
      return Send(MakeMessage(MessageKind::kPreVoteReply, message.from));
    case MessageKind::kVote:
      return Send(MakeMessage(MessageKind::kVoteReply, message.from));
    case MessageKind::kAppend:
    case MessageKind::kSnapshot:
      return Send(MakeMessage(MessageKind::kAppendReply, message.from));
    default:
      return;
  }
}

Message Core::MakeMessage(MessageKind kind, const ReplicaKey& to) const {
  Message message;
  message.kind = kind;
  message.from = options_.self;
  message.to = to;
  message.term = hard_state_.term;
  return message;
}

void Core::Send(Message message) { SendOnceSynced(std::move(message), 0); }

void Core::SendOnceSynced(Message message, std::uint64_t index) {
  if (tracker_.hard_state_synced() && index <= tracker_.synced_index()) {
    ready_messages_.push_back(std::move(message));
  } else {
    tracker_.Hold(std::move(message));
  }
}

void Core::Tick(base::MonotonicTime now) {
  AdvanceClock(now);
  if (fault_) return;
  if (role_ == Role::kLeader) return TickLeader();
  if (!log_.membership().IsVoter(options_.self)) return TickNonVoter();
  // An unsynced vote may still decide the current election, so no new one is started before.
  if (now_ >= election_due_ && tracker_.hard_state_synced()) return StartPreVote();
  // Requests that are held back until the vote is synced need no repetition.
  const bool campaigning = role_ != Role::kFollower && tracker_.hard_state_synced();
  if (campaigning && now_ >= resend_due_) RequestVotes();
}

Output Core::ConsumeOutput(bool may_write) {
  Output output;
  if (fault_) return output;
  if (role_ == Role::kLeader) SendEntries();
  output.messages = std::exchange(ready_messages_, {});
  if (may_write) output.sync = tracker_.ConsumeBatch(hard_state_, log_);
  EmitCommitted(output);
  return output;
}

// Only synced entries are returned to apply, so that a snapshot of the applied state never covers
// entries that are not in the log on this disk.
void Core::EmitCommitted(Output& output) {
  const std::uint64_t limit = std::min(commit_, tracker_.synced_index());
  if (restore_pending_ && limit >= snapshot_.index) {
    restore_pending_ = false;
    output.restore = snapshot_;
    emitted_ = snapshot_.index;
  }
  if (restore_pending_) return;
  while (emitted_ < limit) output.committed.push_back(log_.At(++emitted_));
}

void Core::Synced(std::uint64_t id, base::MonotonicTime now) {
  AdvanceClock(now);
  if (fault_) return;
  const bool had_hard_state = tracker_.hard_state_synced();
  for (Message& message : tracker_.Synced(id)) ready_messages_.push_back(std::move(message));
  if (!had_hard_state && tracker_.hard_state_synced()) HandleVoteSynced();
  if (role_ == Role::kLeader) AdvanceCommit();
}

void Core::Stop(base::ErrorCode code, std::string reason) {
  role_ = Role::kFollower;
  leader_.reset();
  progress_.clear();
  ready_messages_.clear();
  tracker_.DropHeld();
  fault_ = base::Error{code, std::move(reason)};
}

std::optional<ReplicaKey> Core::LeaderHint() const { return leader_; }

}  // namespace wagtailpick::consensus
