#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>

#include "base/verdict.h"
#include "claims/claim_messages.h"

namespace wagtailpick::claims {

/// Result of a `ClaimRound`.
enum class RoundResult : std::uint8_t {
  /// This attempt won the key: it may run the request, and no other attempt may. To refuse the
  /// request as "not run" instead, send a `ReleaseRequest` with `refused_at` to every replica.
  kRun,
  /// Another attempt holds the key and its deadline has not passed.
  kInProgress,
  /// Another attempt held the key until its deadline. Whether it ran is unknown.
  kMayHaveRun,
  /// An earlier attempt ran; `Decision::answer` is its answer.
  kReplay,
  /// An earlier attempt ran, but its answer was too large to store.
  kAnswerNotKept,
  /// The key was used for another request.
  kDifferentBody,
  /// Too few replicas accepted the claim, and none reported another attempt.
  kUnavailable,
};

/// Returns the name of the result for logs and error bodies.
std::string_view ToString(RoundResult result);

/// Result of a `ClaimRound` and what follows from it.
struct Decision {
  RoundResult result = RoundResult::kUnavailable;
  /// Whether the request with this key has run, over all its attempts.
  base::Verdict verdict = base::Verdict::kMayHaveRun;
  /// True when a `ReleaseRequest` for the own attempt must be sent to every replica, because some
  /// may have accepted its claim or may still accept it.
  bool release_own_attempt = false;
  /// Stored answer, for `RoundResult::kReplay`.
  std::string answer;
};

/// Collects the replies to one attempt's `ClaimRequest` at the entry and decides once whether the
/// attempt may run.
class ClaimRound {
 public:
  /// `replicas` is the number of replicas that the request `own` is sent to. `known` contains their
  /// incarnations as far as the entry knows them.
  ClaimRound(std::size_t replicas, const ClaimRequest& own, const Incarnations& known);

  /// Handles a reply. Returns the decision if this reply determines it. Replies to other attempts
  /// and repeated replies are ignored. Returns nothing after the decision.
  std::optional<Decision> OnReply(const ClaimReply& reply, WallMillis now);

  /// Handles the failure to get a reply from `replica`.
  std::optional<Decision> OnLost(ReplicaIndex replica, WallMillis now);

  /// Ends the round at its timeout; missing replies count as lost.
  std::optional<Decision> OnTimeout(WallMillis now);

  bool decided() const { return decided_; }

  /// Highest incarnations known, including those from the replies. Pass them to the next rounds.
  const Incarnations& known() const { return known_; }

 private:
  /// State of one replica in the round. `kRejected` is any other status than accepted, held or
  /// completed.
  enum class Vote : std::uint8_t { kWaiting, kLost, kAccepted, kHeld, kRejected };

  struct Replica {
    Vote vote = Vote::kWaiting;
    Incarnation incarnation = 0;
    AttemptId holder{};
    BodyDigest holder_body{};
    WallMillis holder_deadline = 0;
  };

  /// Returns the decision if the replies so far determine it.
  std::optional<Decision> Decide(WallMillis now);
  /// Returns the decision for an attempt that can no longer get a majority.
  Decision DecideWithoutMajority(WallMillis now) const;
  std::optional<Decision> Finish(Decision decision);
  /// True unless the vote was given by an earlier incarnation of the replica, whose disk was lost.
  bool IsVoteCurrent(ReplicaIndex replica) const;
  /// Counts the replicas with the given vote; accepted claims count only if they are current.
  std::size_t CountVotes(Vote vote) const;
  bool MajorityHasOtherBody() const;
  std::optional<Decision> HandleCompleted(const ClaimReply& reply);

  ReplicaIndex replicas_;
  ClaimRequest own_;
  Incarnations known_;
  std::array<Replica, kMaxReplicas> votes_;
  bool decided_ = false;
};

}  // namespace wagtailpick::claims
