#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>

#include "base/verdict.h"
#include "claims/claim_messages.h"

namespace wagtailpick::claims {

enum class RoundResult : std::uint8_t {
  /// This attempt alone may run the request. To refuse it as "not run" instead, send a
  /// `ReleaseRequest` with `refused_at` to every replica.
  kRun,
  /// Another attempt holds the key and its deadline has not passed.
  kInProgress,
  /// Another attempt held the key until its deadline, with unknown end.
  kMayHaveRun,
  /// `Decision::answer` is the answer of the attempt that ran.
  kReplay,
  kAnswerNotKept,
  /// The key was used for another request.
  kDifferentBody,
  /// Too few replicas could hold the claim.
  kUnavailable,
};

/// Returns the result's name for logs and error bodies.
std::string_view ToString(RoundResult result);

struct Decision {
  RoundResult result = RoundResult::kUnavailable;
  /// What is known about the request of this key over all attempts.
  base::Verdict verdict = base::Verdict::kMayHaveRun;
  /// A `ReleaseRequest` for the own attempt has to go to every replica: claims may have been
  /// accepted, or may still be.
  bool release_own_attempt = false;
  std::string answer;
};

/// One attempt's claim, from the entry's side: takes what comes back and decides once.
class ClaimRound {
 public:
  /// `known` holds the replicas' incarnations as far as the entry knows them.
  ClaimRound(std::size_t replicas, const ClaimRequest& own, const Incarnations& known);

  /// Takes in a reply; returns the decision when this reply settles it. Replies to other attempts
  /// and repeated replies are ignored. After the decision the result is always empty.
  std::optional<Decision> OnReply(const ClaimReply& reply, WallMillis now);

  /// A replica can't be reached.
  std::optional<Decision> OnLost(ReplicaIndex replica, WallMillis now);

  /// The round's time is over; missing replies count as lost.
  std::optional<Decision> OnTimeout(WallMillis now);

  bool decided() const { return decided_; }

  /// Incarnations learned from the replies, for the entry's next rounds.
  const Incarnations& known() const { return known_; }

 private:
  enum class Vote : std::uint8_t { kWaiting, kLost, kAccepted, kHeld, kNone };

  struct Replica {
    Vote vote = Vote::kWaiting;
    Incarnation incarnation = 0;
    AttemptId holder{};
    BodyDigest holder_body{};
    WallMillis holder_deadline = 0;
  };

  std::optional<Decision> Decide(WallMillis now);
  Decision DecideLost(WallMillis now) const;
  std::optional<Decision> Close(Decision decision);
  bool Counts(ReplicaIndex replica) const;
  std::size_t CountOf(Vote vote) const;
  bool MajorityHasOtherBody() const;
  std::optional<Decision> TakeCompleted(const ClaimReply& reply);

  ReplicaIndex replicas_;
  ClaimRequest own_;
  Incarnations known_;
  std::array<Replica, kMaxReplicas> votes_;
  bool decided_ = false;
};

}  // namespace wagtailpick::claims
