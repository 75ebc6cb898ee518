#include <utility>

#include "consensus/core.h"

namespace wagtailpick::consensus {

// The leader lease relies on this: a replica that answered a heartbeat grants no vote during the
// vote silence. As the time of the answer is not stored, the silence also applies after a start.
bool Core::IsWithinVoteSilence() const {
  if (role_ == Role::kLeader) return true;
  const base::MonotonicTime silence_start = leader_last_seen_.value_or(started_at_);
  return now_ - silence_start < options_.vote_silence;
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
    // A leader of the new term may replace the entries that the held messages acknowledge before
    // those entries are synced.
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
  // This replica may have been removed, or removed and added again, without having received that
  // membership.
  SendJoinRequests();
  CountVote(options_.self);
}

void Core::StartElection() {
  role_ = Role::kCandidate;
  campaign_started_at_ = now_;
  votes_.clear();
  hard_state_ = HardState{hard_state_.term + 1, options_.self};
  tracker_.MarkHardState();
  tracker_.DropHeld();
  ResetElectionTimer();
  RequestVotes();
}

// Restarts the election timeout once the own vote is on disk. A candidate extends it by the time
// that its own sync took, as with equally slow disks no election would end within the plain
// timeout.
void Core::HandleVoteSynced() {
  if (role_ == Role::kLeader) return;
  ResetElectionTimer();
  if (role_ != Role::kCandidate) return;
  election_due_ += now_ - campaign_started_at_;
  CountVote(options_.self);
}

void Core::BecomeLeader() {
  role_ = Role::kLeader;
  leader_ = options_.self;
  elected_at_ = now_;
  disk_lags_since_.reset();
  uncommitted_bytes_ = 0;
  UpdateProgress();
  term_start_index_ = AppendAsLeader(EntryKind::kNoop, {}).index;
  heartbeat_pending_ = true;
  resend_due_ = now_ + options_.heartbeat_interval;
}

void Core::RequestVotes() {
  resend_due_ = now_ + options_.heartbeat_interval;
  const bool pre_vote = role_ == Role::kPreCandidate;
  for (const Member& member : log_.membership().members()) {
    if (member.role != MemberRole::kVoter || member.key == options_.self) continue;
    if (votes_.contains(member.key)) continue;
    Message request =
        MakeMessage(pre_vote ? MessageKind::kPreVote : MessageKind::kVote, member.key);
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
  Message reply = MakeMessage(MessageKind::kPreVoteReply, message.from);
  reply.accepted = message.term > hard_state_.term && IsUpToDate(message);
  if (reply.accepted) reply.term = message.term;
  Send(std::move(reply));
}

void Core::OnVote(const Message& message) {
  Message reply = MakeMessage(MessageKind::kVoteReply, message.from);
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
