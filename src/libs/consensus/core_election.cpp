#include <utility>

#include "consensus/core.h"

namespace wagtailpick::consensus {

// The promise behind the leader lease: whoever answered a heartbeat gives no vote for a while, and
// as that isn't stored, neither does a replica that has just started.
bool Core::HearsLeader() const {
  if (role_ == Role::kLeader) return true;
  const base::MonotonicTime silent_since = heard_leader_at_.value_or(started_at_);
  return now_ - silent_since < options_.vote_silence;
}

void Core::ResetElectionTimer() {
  const auto span = static_cast<std::uint64_t>(
      (options_.election_timeout_max - options_.election_timeout_min).count());
  election_due_ = now_ + options_.election_timeout_min +
                  base::Duration(static_cast<std::int64_t>(options_.random() % (span + 1)));
}

void Core::BecomeFollower(std::uint64_t term, std::optional<ReplicaKey> leader) {
  if (term != hard_state_.term) {
    hard_state_ = HardState{term, {}};
    tracker_.MarkHardState();
    // A later leader of the new term may replace the entries that these acknowledge before they
    // are synced.
    tracker_.DropHeld();
  }
  role_ = Role::kFollower;
  leader_ = std::move(leader);
  votes_.clear();
  progress_.clear();
  ResetElectionTimer();
}

void Core::StartPreVote() {
  role_ = Role::kPreCandidate;
  leader_.reset();
  votes_.clear();
  ResetElectionTimer();
  RequestVotes();
  // It may have been removed, or removed and added again, without having heard of it.
  AskForAdmission();
  CountVote(options_.self);
}

void Core::StartElection() {
  role_ = Role::kCandidate;
  campaign_at_ = now_;
  votes_.clear();
  hard_state_ = HardState{hard_state_.term + 1, options_.self};
  tracker_.MarkHardState();
  tracker_.DropHeld();
  ResetElectionTimer();
  RequestVotes();
}

// Whoever waits for votes or for a new leader gives the other disks the time that this one took:
// with the plain timeout, disks as slow as that would let no election succeed.
void Core::TakeSyncedVote() {
  if (role_ == Role::kLeader) return;
  ResetElectionTimer();
  if (role_ != Role::kCandidate) return;
  election_due_ += now_ - campaign_at_;
  CountVote(options_.self);
}

void Core::BecomeLeader() {
  role_ = Role::kLeader;
  leader_ = options_.self;
  elected_at_ = now_;
  disk_lags_since_.reset();
  uncommitted_bytes_ = 0;
  UpdateProgress();
  term_start_index_ = AppendOwn(EntryKind::kNoop, {}).index;
  heartbeat_pending_ = true;
  repeat_due_ = now_ + options_.heartbeat_interval;
}

void Core::RequestVotes() {
  repeat_due_ = now_ + options_.heartbeat_interval;
  const bool pre_vote = role_ == Role::kPreCandidate;
  for (const Member& member : log_.membership().members()) {
    if (member.role != MemberRole::kVoter || member.key == options_.self) continue;
    if (votes_.contains(member.key)) continue;
    Message request = Compose(pre_vote ? MessageKind::kPreVote : MessageKind::kVote, member.key);
    if (pre_vote) ++request.term;
    request.log_index = log_.last_index();
    request.log_term = log_.last_term();
    Send(std::move(request));
  }
}

void Core::CountVote(const ReplicaKey& voter) {
  if (!log_.membership().IsVoter(voter)) return;
  votes_.insert(voter);
  if (votes_.size() < log_.membership().majority()) return;
  if (role_ == Role::kPreCandidate) {
    StartElection();
  } else if (role_ == Role::kCandidate) {
    BecomeLeader();
  }
}

bool Core::IsUpToDate(const Message& request) const {
  if (request.log_term != log_.last_term()) return request.log_term > log_.last_term();
  return request.log_index >= log_.last_index();
}

void Core::OnPreVote(const Message& message) {
  Message reply = Compose(MessageKind::kPreVoteReply, message.from);
  reply.accepted = message.term > hard_state_.term && IsUpToDate(message);
  if (reply.accepted) reply.term = message.term;
  Send(std::move(reply));
}

void Core::OnVote(const Message& message) {
  Message reply = Compose(MessageKind::kVoteReply, message.from);
  const bool free = hard_state_.voted_for.name.empty();
  reply.accepted = IsUpToDate(message) && (free || hard_state_.voted_for == message.from);
  if (reply.accepted && free) {
    hard_state_.voted_for = message.from;
    tracker_.MarkHardState();
    role_ = Role::kFollower;
    votes_.clear();
    ResetElectionTimer();
  }
  Send(std::move(reply));
}

void Core::OnVoteReply(const Message& message) {
  if (!message.accepted) return;
  const bool pre_vote = message.kind == MessageKind::kPreVoteReply;
  const Role counting = pre_vote ? Role::kPreCandidate : Role::kCandidate;
  const std::uint64_t term = hard_state_.term + (pre_vote ? 1 : 0);
  if (role_ == counting && message.term == term) CountVote(message.from);
}

}  // namespace wagtailpick::consensus
