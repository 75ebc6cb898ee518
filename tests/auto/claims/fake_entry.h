#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "claim_simulation_options.h"
#include "claims/claim_round.h"
#include "event_queue.h"
#include "fake_replica.h"
#include "run_checker.h"

namespace wagtailpick::claims {

/// Simulates an entry that claims keys, runs requests at an upstream, and completes or releases the
/// claims. It can be paused or killed at any time.
class FakeEntry {
 public:
  /// Reply to the caller.
  enum class Outcome : std::uint8_t { kNotRun, kMayHaveRun, kAnswer };
  using Reply = std::function<void(Outcome)>;

  struct Environment {
    EventQueue& queue;
    RandomSource& random;
    LossyNetwork& network;
    const ClaimSimulationOptions& options;
    RunChecker& checker;
    std::function<FakeReplica&(ReplicaIndex)> replica;
  };

  explicit FakeEntry(Environment environment);

  /// Handles a request; `reply` is called with its outcome, unless the reply is lost.
  void OnRequest(int key, int body, const Reply& reply);
  void Pause(std::int64_t pause_ms);
  void Kill(std::int64_t down_ms);

 private:
  struct Attempt {
    int key = 0;
    int body = 0;
    ClaimRequest claim;
    ClaimRound round;
    Reply reply;
    /// The request was sent to the upstream.
    bool sent = false;
    /// The caller was sent a reply.
    bool closed = false;
  };
  using AttemptPointer = std::shared_ptr<Attempt>;

  /// Runs `task` now, or when the process resumes if it is paused. Not run if it is killed before.
  void RunOrDefer(const EventQueue::Task& task);
  /// As `RunOrDefer`, after a delay.
  void RunAfter(std::int64_t delay_ms, const EventQueue::Task& task);
  void SendClaims(const AttemptPointer& attempt);
  void OnClaimReply(const AttemptPointer& attempt, const ClaimReply& reply);
  void OnDecision(const AttemptPointer& attempt, const std::optional<Decision>& decision);
  void Dispatch(const AttemptPointer& attempt);
  void RunAtUpstream(const AttemptPointer& attempt);
  void RefuseAsNotRun(const AttemptPointer& attempt);
  void OnAnswer(const AttemptPointer& attempt, const std::string& answer);
  void Release(const AttemptPointer& attempt, WallMillis refused_at);
  void SendReply(const AttemptPointer& attempt, Outcome outcome);
  void SendToReplicas(const std::function<void(FakeReplica&)>& deliver);

  Environment env_;
  std::int64_t clock_offset_ms_;
  Incarnations known_;
  std::int64_t paused_until_ = 0;
  /// Increased when the process is killed, so that events of the earlier process have no effect.
  std::uint64_t process_number_ = 0;
  bool up_ = true;
};

}  // namespace wagtailpick::claims
