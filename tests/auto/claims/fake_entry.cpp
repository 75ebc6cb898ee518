#include "fake_entry.h"

#include <utility>

namespace wagtailpick::claims {
namespace {

constexpr std::int64_t kDeadlineMs = 1500;

}  // namespace

FakeEntry::FakeEntry(Surroundings surroundings)
    : s_(std::move(surroundings)), clock_offset_ms_(s_.dice.Between(-40, 40)) {}

void FakeEntry::OnRequest(int key, int body, const Reply& reply) {
  if (!up_) return;
  Do([this, key, body, reply] {
    ClaimRequest claim;
    claim.key = DigestKey("payment", "caller", std::to_string(key));
    const bool same_digest = s_.options.disabled == Disabled::kBodyDigest;
    claim.body = DigestBody("POST", "/pay", same_digest ? "" : std::to_string(body));
    for (std::uint8_t& byte : claim.attempt) byte = static_cast<std::uint8_t>(s_.dice.Next());
    claim.started_at = s_.queue.now() + clock_offset_ms_;
    s_.ledger.OnStart(key, claim.attempt);
    claim.deadline = s_.queue.now() + clock_offset_ms_ + kDeadlineMs;
    SendClaims(std::make_shared<Attempt>(
        Attempt{key, body, claim, ClaimRound(s_.options.replicas, claim, known_), reply}));
  });
}

void FakeEntry::Pause(std::int64_t pause_ms) {
  paused_until_ = std::max(paused_until_, s_.queue.now() + pause_ms);
}

void FakeEntry::Kill(std::int64_t down_ms) {
  ++life_;
  up_ = false;
  known_ = {};
  s_.queue.After(down_ms, [this] { up_ = true; });
}

// Runs `task` now or, in a paused process, when it resumes; never in a later process.
void FakeEntry::Do(const EventQueue::Task& task) {
  if (paused_until_ <= s_.queue.now()) {
    task();
    return;
  }
  s_.queue.After(paused_until_ - s_.queue.now(), [this, task, life = life_] {
    if (life == life_) Do(task);
  });
}

void FakeEntry::DoAfter(std::int64_t delay_ms, const EventQueue::Task& task) {
  s_.queue.After(delay_ms, [this, task, life = life_] {
    if (life == life_) Do(task);
  });
}

void FakeEntry::ToReplicas(const std::function<void(FakeReplica&)>& send) {
  const auto count = static_cast<ReplicaIndex>(s_.options.replicas);
  for (ReplicaIndex index = 0; index < count; ++index) {
    FakeReplica& replica = s_.replica(index);
    s_.network.Send([&replica, send] { send(replica); });
  }
}

void FakeEntry::SendClaims(const AttemptPointer& attempt) {
  ToReplicas([this, attempt, life = life_](FakeReplica& replica) {
    replica.OnClaim(attempt->claim, [this, attempt, life](const ClaimReply& reply) {
      if (life != life_) return;
      Do([this, attempt, reply] { OnClaimReply(attempt, reply); });
    });
  });
  if (s_.dice.Chance(10)) {
    const auto lost = static_cast<ReplicaIndex>(s_.dice.Below(s_.options.replicas));
    DoAfter(5, [=, this] {
      OnDecision(attempt, attempt->round.OnLost(lost, s_.queue.now() + clock_offset_ms_));
    });
  }
  // A long wait gives late replies and disks lost meanwhile a chance to meet in one round.
  const std::int64_t timeout_ms = s_.dice.Chance(50) ? 120 : 1400;
  DoAfter(timeout_ms, [=, this] {
    OnDecision(attempt, attempt->round.OnTimeout(s_.queue.now() + clock_offset_ms_));
  });
}

void FakeEntry::OnClaimReply(const AttemptPointer& attempt, const ClaimReply& reply) {
  auto decision = attempt->round.OnReply(reply, s_.queue.now() + clock_offset_ms_);
  known_.Merge(attempt->round.known());
  if (s_.options.disabled == Disabled::kFence) known_ = {};
  const bool is_enough = s_.options.disabled == Disabled::kMajority && !attempt->sent &&
                         !attempt->closed && reply.status == ClaimStatus::kAccepted;
  if (is_enough) decision = Decision{RoundResult::kRun, base::Verdict::kNotRun, false, {}};
  OnDecision(attempt, decision);
}

void FakeEntry::OnDecision(const AttemptPointer& attempt, const std::optional<Decision>& decision) {
  if (!decision || attempt->sent) return;
  if (decision->release_own_attempt) Release(attempt, 0);
  switch (decision->result) {
    case RoundResult::kRun:
      if (s_.dice.Chance(25)) {
        RefuseAsNotRun(attempt);
      } else {
        Dispatch(attempt);
      }
      return;
    case RoundResult::kReplay:
      s_.ledger.OnReplay(attempt->key, attempt->body, decision->answer);
      Tell(attempt, Told::kAnswer);
      return;
    default:
      Tell(attempt, Told::kMayHaveRun);
  }
}

void FakeEntry::Dispatch(const AttemptPointer& attempt) {
  attempt->sent = true;
  // The entry can be paused between its own check of the deadline and the send.
  DoAfter(s_.dice.Between(0, 3), [this, attempt] {
    s_.queue.After(s_.dice.Between(1, 30), [this, attempt] { RunAtUpstream(attempt); });
    DoAfter(kDeadlineMs + 100, [this, attempt] {
      if (s_.options.disabled == Disabled::kHoldWhileUnknown && !attempt->closed) {
        Release(attempt, 0);
      }
      Tell(attempt, Told::kMayHaveRun);
    });
  });
}

void FakeEntry::RunAtUpstream(const AttemptPointer& attempt) {
  const std::uint64_t life = life_;
  const auto back = [this, life](const EventQueue::Task& task) {
    s_.queue.After(s_.dice.Between(1, 30), [this, life, task] {
      if (life == life_) Do(task);
    });
  };
  if (s_.queue.now() > attempt->claim.deadline + 100 || s_.dice.Chance(10)) {
    back([this, attempt] { RefuseAsNotRun(attempt); });
    return;
  }
  s_.ledger.OnRun(attempt->key, attempt->body, attempt->claim.attempt);
  if (s_.dice.Chance(15)) return;  // The answer is lost.
  std::string answer = RunChecker::AnswerOf(attempt->key, attempt->body, attempt->claim.attempt);
  s_.queue.After(s_.dice.Between(1, 1400),
                 [=, this] { back([=, this] { OnAnswer(attempt, answer); }); });
}

void FakeEntry::RefuseAsNotRun(const AttemptPointer& attempt) {
  if (attempt->closed) return;
  const bool is_fenced = s_.options.disabled != Disabled::kRefusalFence;
  Release(attempt, is_fenced ? s_.queue.now() + clock_offset_ms_ : 0);
  s_.ledger.OnNotRun(attempt->key);
  Tell(attempt, Told::kNotRun);
}

void FakeEntry::OnAnswer(const AttemptPointer& attempt, const std::string& answer) {
  if (attempt->closed) return;
  const ClaimRequest& claim = attempt->claim;
  const std::string stored = s_.dice.Chance(10) ? std::string(65, 'x') : answer;
  ToReplicas(
      [request = CompleteRequest{claim.table, claim.key, claim.body, claim.attempt, claim.deadline,
                                 stored}](FakeReplica& replica) { replica.OnComplete(request); });
  s_.ledger.OnAnswer(attempt->key, attempt->body, answer);
  Tell(attempt, Told::kAnswer);
}

void FakeEntry::Release(const AttemptPointer& attempt, WallMillis refused_at) {
  const ClaimRequest& claim = attempt->claim;
  ToReplicas([request = ReleaseRequest{claim.table, claim.key, claim.attempt, refused_at}](
                 FakeReplica& replica) { replica.OnRelease(request); });
}

void FakeEntry::Tell(const AttemptPointer& attempt, Told told) {
  if (attempt->closed) return;
  attempt->closed = true;
  s_.network.Send([reply = attempt->reply, told] { reply(told); });
}

}  // namespace wagtailpick::claims
