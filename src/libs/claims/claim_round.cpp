#include "claims/claim_round.h"

#include <algorithm>
#include <utility>

#include "base/enum_names.h"
#include "base/saturated_sum.h"

namespace wagtailpick::claims {
namespace {

constexpr std::array<base::EnumName<RoundResult>, 7> kResultNames{{
    {RoundResult::kRun, "run"},
    {RoundResult::kInProgress, "in_progress"},
    {RoundResult::kMayHaveRun, "may_have_run"},
    {RoundResult::kReplay, "replay"},
    {RoundResult::kAnswerNotKept, "answer_not_kept"},
    {RoundResult::kDifferentBody, "different_body"},
    {RoundResult::kUnavailable, "unavailable"},
}};

Decision Refuse(RoundResult result, base::Verdict verdict) {
  return {.result = result, .verdict = verdict, .release_own_attempt = true, .answer = {}};
}

}  // namespace

std::string_view ToString(RoundResult result) { return base::NameOf(kResultNames, result); }

ClaimRound::ClaimRound(std::size_t replicas, const ClaimRequest& own, const Incarnations& known)
    : replicas_(static_cast<ReplicaIndex>(std::min(replicas, kMaxReplicas))),
      own_(own),
      known_(known) {}

std::optional<Decision> ClaimRound::OnReply(const ClaimReply& reply, WallMillis now) {
  if (reply.replica >= replicas_ || reply.attempt != own_.attempt) return std::nullopt;
  known_.Merge(reply.known);
  known_.Raise(reply.replica, reply.incarnation);
  if (decided_) return std::nullopt;
  if (reply.status == ClaimStatus::kCompleted || reply.status == ClaimStatus::kAnswerNotKept) {
    return HandleCompleted(reply);
  }
  Replica& replica = votes_[reply.replica];
  const bool is_repeated =
      reply.incarnation == replica.incarnation && replica.vote == Vote::kAccepted;
  if (is_repeated || reply.incarnation < replica.incarnation) return Decide(now);
  replica.incarnation = reply.incarnation;
  replica.vote = reply.status == ClaimStatus::kAccepted ? Vote::kAccepted
                 : reply.status == ClaimStatus::kHeld   ? Vote::kHeld
                                                        : Vote::kRejected;
  replica.holder = reply.holder;
  replica.holder_body = reply.holder_body;
  replica.holder_deadline = reply.holder_deadline;
  return Decide(now);
}

std::optional<Decision> ClaimRound::OnLost(ReplicaIndex replica, WallMillis now) {
  if (decided_ || replica >= replicas_) return std::nullopt;
  if (votes_[replica].vote == Vote::kWaiting) votes_[replica].vote = Vote::kLost;
  return Decide(now);
}

std::optional<Decision> ClaimRound::OnTimeout(WallMillis now) {
  if (decided_) return std::nullopt;
  for (ReplicaIndex replica = 0; replica < replicas_; ++replica) {
    if (votes_[replica].vote == Vote::kWaiting) votes_[replica].vote = Vote::kLost;
  }
  return Decide(now);
}

std::optional<Decision> ClaimRound::HandleCompleted(const ClaimReply& reply) {
  // The reply of one replica is sufficient: only an attempt that won and ran is ever completed.
  if (reply.holder_body != own_.body) {
    return Finish(Refuse(RoundResult::kDifferentBody, base::Verdict::kMayHaveRun));
  }
  if (reply.status == ClaimStatus::kAnswerNotKept) {
    return Finish(Refuse(RoundResult::kAnswerNotKept, base::Verdict::kRan));
  }
  Decision decision = Refuse(RoundResult::kReplay, base::Verdict::kRan);
  decision.answer = reply.answer;
  return Finish(std::move(decision));
}

std::optional<Decision> ClaimRound::Decide(WallMillis now) {
  const std::size_t majority = MajorityOf(replicas_);
  if (CountVotes(Vote::kAccepted) >= majority) {
    return Finish({.result = RoundResult::kRun,
                   .verdict = base::Verdict::kNotRun,
                   .release_own_attempt = false,
                   .answer = {}});
  }
  const std::size_t waiting = CountVotes(Vote::kWaiting);
  if (CountVotes(Vote::kAccepted) + waiting >= majority) return std::nullopt;
  const Decision decision = DecideWithoutMajority(now);
  // One of the missing replies may contain the stored answer.
  const bool worth_waiting =
      decision.result == RoundResult::kMayHaveRun || decision.result == RoundResult::kUnavailable;
  if (worth_waiting && waiting > 0) return std::nullopt;
  return Finish(decision);
}

Decision ClaimRound::DecideWithoutMajority(WallMillis now) const {
  if (MajorityHasOtherBody()) {
    return Refuse(RoundResult::kDifferentBody, base::Verdict::kMayHaveRun);
  }
  bool held = false;
  bool running = false;
  for (ReplicaIndex replica = 0; replica < replicas_; ++replica) {
    if (votes_[replica].vote != Vote::kHeld) continue;
    held = true;
    running =
        running || now <= base::SaturatedSum(votes_[replica].holder_deadline, kMaxClockSkewMs);
  }
  if (running) return Refuse(RoundResult::kInProgress, base::Verdict::kMayHaveRun);
  if (held) return Refuse(RoundResult::kMayHaveRun, base::Verdict::kMayHaveRun);
  return Refuse(RoundResult::kUnavailable, base::Verdict::kMayHaveRun);
}

std::optional<Decision> ClaimRound::Finish(Decision decision) {
  decided_ = true;
  return decision;
}

bool ClaimRound::IsVoteCurrent(ReplicaIndex replica) const {
  return votes_[replica].incarnation >= known_.of(replica);
}

std::size_t ClaimRound::CountVotes(Vote vote) const {
  std::size_t count = 0;
  for (ReplicaIndex replica = 0; replica < replicas_; ++replica) {
    if (votes_[replica].vote != vote) continue;
    if (vote == Vote::kAccepted && !IsVoteCurrent(replica)) continue;
    ++count;
  }
  return count;
}

// A claim for another body that only a minority holds may not win and may still be released.
bool ClaimRound::MajorityHasOtherBody() const {
  for (ReplicaIndex first = 0; first < replicas_; ++first) {
    if (votes_[first].vote != Vote::kHeld || votes_[first].holder_body == own_.body) continue;
    const auto same =
        std::count_if(votes_.begin(), votes_.begin() + replicas_, [&](const Replica& other) {
          return other.vote == Vote::kHeld && other.holder == votes_[first].holder;
        });
    if (static_cast<std::size_t>(same) >= MajorityOf(replicas_)) return true;
  }
  return false;
}

}  // namespace wagtailpick::claims
