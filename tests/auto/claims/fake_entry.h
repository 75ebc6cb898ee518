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

/// An entry that claims, runs, completes and releases, and can be paused or killed at any point.
class FakeEntry {
 public:
  /// What the caller is told.
  enum class Told : std::uint8_t { kNotRun, kMayHaveRun, kAnswer };
  using Reply = std::function<void(Told)>;

  struct Surroundings {
    EventQueue& queue;
    RandomSource& dice;
    LossyNetwork& network;
    const ClaimSimulationOptions& options;
    RunChecker& ledger;
    std::function<FakeReplica&(ReplicaIndex)> replica;
  };

  explicit FakeEntry(Surroundings surroundings);

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
    bool sent = false;
    bool closed = false;
  };
  using AttemptPointer = std::shared_ptr<Attempt>;

  void Do(const EventQueue::Task& task);
  void DoAfter(std::int64_t delay_ms, const EventQueue::Task& task);
  void SendClaims(const AttemptPointer& attempt);
  void OnClaimReply(const AttemptPointer& attempt, const ClaimReply& reply);
  void OnDecision(const AttemptPointer& attempt, const std::optional<Decision>& decision);
  void Dispatch(const AttemptPointer& attempt);
  void RunAtUpstream(const AttemptPointer& attempt);
  void RefuseAsNotRun(const AttemptPointer& attempt);
  void OnAnswer(const AttemptPointer& attempt, const std::string& answer);
  void Release(const AttemptPointer& attempt, WallMillis refused_at);
  void Tell(const AttemptPointer& attempt, Told told);
  void ToReplicas(const std::function<void(FakeReplica&)>& send);

  Surroundings s_;
  std::int64_t clock_offset_ms_;
  Incarnations known_;
  std::int64_t paused_until_ = 0;
  std::uint64_t life_ = 0;
  bool up_ = true;
};

}  // namespace wagtailpick::claims
