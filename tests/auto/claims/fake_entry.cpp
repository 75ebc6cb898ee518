#include "fake_entry.h"

#include <utility>

namespace wagtailpick::claims {
namespace {

constexpr std::int64_t kDeadlineMs = 1500;

}  // namespace

FakeEntry::FakeEntry(Environment environment)
    : env_(std::move(environment)), clock_offset_ms_(env_.random.Between(-40, 40)) {}

void FakeEntry::OnRequest(int key, int body, const Reply& reply) {
  if (!up_) return;
  RunOrDefer([this, key, body, reply] {
    ClaimRequest claim;
    claim.key = DigestKey("payment", "caller", std::to_string(key));
    const bool same_digest = env_.options.disabled == Disabled::kBodyDigest;
    claim.body = DigestBody("POST", "/pay", same_digest ? "" : std::to_string(body));
    for (std::uint8_t& byte : claim.attempt) byte = static_cast<std::uint8_t>(env_.random.Next());
    claim.started_at = env_.queue.now() + clock_offset_ms_;
    env_.checker.OnStart(key, claim.attempt);
    claim.deadline = env_.queue.now() + clock_offset_ms_ + kDeadlineMs;
    SendClaims(std::make_shared<Attempt>(
        Attempt{key, body, claim, ClaimRound(env_.options.replicas, claim, known_), reply}));
  });
}

void FakeEntry::Pause(std::int64_t pause_ms) {
  paused_until_ = std::max(paused_until_, env_.queue.now() + pause_ms);
}

void FakeEntry::Kill(std::int64_t down_ms) {
  ++process_number_;
  up_ = false;
  known_ = {};
  env_.queue.After(down_ms, [this] { up_ = true; });
}

void FakeEntry::RunOrDefer(const EventQueue::Task& task) {
  if (paused_until_ <= env_.queue.now()) {
    task();
    return;
  }
  env_.queue.After(paused_until_ - env_.queue.now(),
                   [this, task, process_number = process_number_] {
                     if (process_number == process_number_) RunOrDefer(task);
                   });
}

void FakeEntry::RunAfter(std::int64_t delay_ms, const EventQueue::Task& task) {
  env_.queue.After(delay_ms, [this, task, process_number = process_number_] {
    if (process_number == process_number_) RunOrDefer(task);
  });
}

void FakeEntry::SendToReplicas(const std::function<void(FakeReplica&)>& deliver) {
  const auto count = static_cast<ReplicaIndex>(env_.options.replicas);
  for (ReplicaIndex index = 0; index < count; ++index) {
    FakeReplica& replica = env_.replica(index);
    env_.network.Send([&replica, deliver] { deliver(replica); });
  }
}

void FakeEntry::SendClaims(const AttemptPointer& attempt) {
  SendToReplicas([this, attempt, process_number = process_number_](FakeReplica& replica) {
    replica.OnClaim(attempt->claim, [this, attempt, process_number](const ClaimReply& reply) {
      if (process_number != process_number_) return;
      RunOrDefer([this, attempt, reply] { OnClaimReply(attempt, reply); });
    });
  });
  if (env_.random.Chance(10)) {
    const auto lost = static_cast<ReplicaIndex>(env_.random.Below(env_.options.replicas));
    RunAfter(5, [=, this] {
      OnDecision(attempt, attempt->round.OnLost(lost, env_.queue.now() + clock_offset_ms_));
    });
  }
  // With a long timeout, a late reply and the loss of a disk can fall into the same round.
  const std::int64_t timeout_ms = env_.random.Chance(50) ? 120 : 1400;
  RunAfter(timeout_ms, [=, this] {
    OnDecision(attempt, attempt->round.OnTimeout(env_.queue.now() + clock_offset_ms_));
  });
}

void FakeEntry::OnClaimReply(const AttemptPointer& attempt, const ClaimReply& reply) {
  auto decision = attempt->round.OnReply(reply, env_.queue.now() + clock_offset_ms_);
  known_.Merge(attempt->round.known());
  if (env_.options.disabled == Disabled::kFence) known_ = {};
  const bool is_enough = env_.options.disabled == Disabled::kMajority && !attempt->sent &&
                         !attempt->closed && reply.status == ClaimStatus::kAccepted;
  if (is_enough) decision = Decision{RoundResult::kRun, base::Verdict::kNotRun, false, {}};
  OnDecision(attempt, decision);
}

void FakeEntry::OnDecision(const AttemptPointer& attempt, const std::optional<Decision>& decision) {
  if (!decision || attempt->sent) return;
  if (decision->release_own_attempt) Release(attempt, 0);
  switch (decision->result) {
    case RoundResult::kRun:
      if (env_.random.Chance(25)) {
        RefuseAsNotRun(attempt);
      } else {
        Dispatch(attempt);
      }
      return;
    case RoundResult::kReplay:
      env_.checker.OnReplay(attempt->key, attempt->body, decision->answer);
      SendReply(attempt, Outcome::kAnswer);
      return;
    default:
      SendReply(attempt, Outcome::kMayHaveRun);
  }
}

void FakeEntry::Dispatch(const AttemptPointer& attempt) {
  attempt->sent = true;
  // The entry can be paused between its check of the deadline and sending the request.
  RunAfter(env_.random.Between(0, 3), [this, attempt] {
    env_.queue.After(env_.random.Between(1, 30), [this, attempt] { RunAtUpstream(attempt); });
    RunAfter(kDeadlineMs + 100, [this, attempt] {
      if (env_.options.disabled == Disabled::kHoldWhileUnknown && !attempt->closed) {
        Release(attempt, 0);
      }
      SendReply(attempt, Outcome::kMayHaveRun);
    });
  });
}

void FakeEntry::RunAtUpstream(const AttemptPointer& attempt) {
  const std::uint64_t process_number = process_number_;
  const auto send_back = [this, process_number](const EventQueue::Task& task) {
    env_.queue.After(env_.random.Between(1, 30), [this, process_number, task] {
      if (process_number == process_number_) RunOrDefer(task);
    });
  };
  if (env_.queue.now() > attempt->claim.deadline + 100 || env_.random.Chance(10)) {
    send_back([this, attempt] { RefuseAsNotRun(attempt); });
    return;
  }
  env_.checker.OnRun(attempt->key, attempt->body, attempt->claim.attempt);
  if (env_.random.Chance(15)) return;  // The answer is lost.
  std::string answer = RunChecker::AnswerOf(attempt->key, attempt->body, attempt->claim.attempt);
  env_.queue.After(env_.random.Between(1, 1400),
                   [=, this] { send_back([=, this] { OnAnswer(attempt, answer); }); });
}

void FakeEntry::RefuseAsNotRun(const AttemptPointer& attempt) {
  if (attempt->closed) return;
  const bool is_fenced = env_.options.disabled != Disabled::kRefusalFence;
  Release(attempt, is_fenced ? env_.queue.now() + clock_offset_ms_ : 0);
  env_.checker.OnNotRun(attempt->key);
  SendReply(attempt, Outcome::kNotRun);
}

void FakeEntry::OnAnswer(const AttemptPointer& attempt, const std::string& answer) {
  if (attempt->closed) return;
  const ClaimRequest& claim = attempt->claim;
  const std::string stored = env_.random.Chance(10) ? std::string(65, 'x') : answer;
  SendToReplicas(
      [request = CompleteRequest{claim.table, claim.key, claim.body, claim.attempt, claim.deadline,
                                 stored}](FakeReplica& replica) { replica.OnComplete(request); });
  env_.checker.OnAnswer(attempt->key, attempt->body, answer);
  SendReply(attempt, Outcome::kAnswer);
}

void FakeEntry::Release(const AttemptPointer& attempt, WallMillis refused_at) {
  const ClaimRequest& claim = attempt->claim;
  SendToReplicas([request = ReleaseRequest{claim.table, claim.key, claim.attempt, refused_at}](
                     FakeReplica& replica) { replica.OnRelease(request); });
}

void FakeEntry::SendReply(const AttemptPointer& attempt, Outcome outcome) {
  if (attempt->closed) return;
  attempt->closed = true;
  env_.network.Send([reply = attempt->reply, outcome] { reply(outcome); });
}

}  // namespace wagtailpick::claims
