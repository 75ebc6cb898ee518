#include "claims/claim_round.h"

#include <criterion/criterion.h>

#include <array>
#include <limits>
#include <sstream>
#include <string>

#include "sample_claims.h"

namespace wagtailpick::claims {
namespace {

constexpr WallMillis kNow = kStart + 500;

ClaimReply Reply(ReplicaIndex replica, char kind) {
  ClaimReply reply;
  reply.replica = replica;
  reply.incarnation = 1;
  reply.attempt = Filled<AttemptId>(1);
  reply.holder = Filled<AttemptId>(2);
  reply.holder_body = Filled<BodyDigest>(kind == 'd' || kind == 'C' ? 2 : 1);
  reply.holder_deadline = kind == 'o'   ? kNow - 101
                          : kind == 'm' ? std::numeric_limits<WallMillis>::max()
                                        : kNow - 99;
  reply.answer = "paid";
  reply.status = kind == 'a'                                                ? ClaimStatus::kAccepted
                 : kind == 'h' || kind == 'o' || kind == 'm' || kind == 'd' ? ClaimStatus::kHeld
                 : kind == 'c' || kind == 'C' ? ClaimStatus::kCompleted
                 : kind == 'n'                ? ClaimStatus::kAnswerNotKept
                 : kind == 'f'                ? ClaimStatus::kFull
                                              : ClaimStatus::kCopying;
  return reply;
}

/// Runs a round and returns its decisions. `script` is a list of steps such as "0a 1h 2l t", each
/// the number of a replica and what happens there:
///   a  accepts                    c  completed
///   h  held by another attempt    C  completed with another body
///   o  held, deadline has passed  n  completed, answer not kept
///   d  held, with another body    f  full
///   l  lost                       y  copying
///   m  held, with the latest deadline that fits
/// "t" is the timeout of the round.
std::string RunSteps(std::size_t replicas, const std::string& script) {
  ClaimRound round(replicas, SampleClaim(1, 1), {});
  std::string decisions;
  std::istringstream steps(script);
  for (std::string step; steps >> step;) {
    const auto replica = static_cast<ReplicaIndex>(step[0] - '0');
    const auto decision = step == "t"      ? round.OnTimeout(kNow)
                          : step[1] == 'l' ? round.OnLost(replica, kNow)
                                           : round.OnReply(Reply(replica, step[1]), kNow);
    if (!decision) continue;
    cr_assert(decision->release_own_attempt == (decision->result != RoundResult::kRun));
    cr_assert(decision->result != RoundResult::kReplay || decision->answer == "paid");
    decisions += ToString(decision->result);
  }
  return decisions;
}

struct Case {
  const char* guards_against;
  std::size_t replicas;
  const char* steps;
  const char* expected;
};

const std::array cases = std::to_array<Case>({
    {"running with less than a majority", 3, "0a", ""},
    {"waiting for a third replica", 3, "0a 1a", "run"},
    {"running with less than a majority of 5", 5, "0a 1a 2l", ""},
    {"a repeated reply that counts twice", 3, "0a 0a", ""},
    {"repeated replies that count twice, of 5", 5, "0a 1a 0a 1a", ""},
    {"a claim that fails because of one lost replica", 3, "0l 1a 2a", "run"},
    {"a claim that fails because of two lost replicas of 5", 5, "0l 1a 2l 3a 4a", "run"},
    {"a claim that fails because one replica holds another", 3, "0h 1a 2a", "run"},
    {"two winners", 3, "0a 1h 2h", "in_progress"},
    {"two winners of 5", 5, "0a 1a 2h 3h 4h", "in_progress"},
    {"no decision when no attempt gets a majority", 5, "0a 1a 2h 3h 4l", "in_progress"},
    {"\"in progress\" after the deadline", 3, "0a 1o 2o", "may_have_run"},
    {"\"may have run\" as the deadline plus the clock skew does not fit", 3, "0a 1m 2m",
     "in_progress"},
    {"a decision before the stored answer arrives", 3, "1o 2o 0c", "replay"},
    {"waiting for a stored answer after the timeout", 3, "1o 2o t", "may_have_run"},
    {"a stored answer that needs a majority", 3, "2c", "replay"},
    {"a second decision after late replies", 3, "0a 1a 2c 2h t", "run"},
    {"a second decision after late accepting replies", 3, "0h 1h 2a 0a 1a", "in_progress"},
    {"ignoring a reply that arrives after its loss was reported", 3, "0l 0a 1a", "run"},
    {"a replay without a stored answer", 3, "1n", "answer_not_kept"},
    {"a replay of the answer to another request", 3, "1C", "different_body"},
    {"a different body that is taken for the same", 3, "0d 1d", "different_body"},
    {"\"different body\" for a claim that may still lose", 3, "0d 1l 2l", "in_progress"},
    {"running when too many replicas are full", 3, "0f 1f 2a", "unavailable"},
    {"running when too many replicas are copying", 3, "0y 1y 2a", "unavailable"},
    {"running without any reply", 3, "t", "unavailable"},
    {"running with replies of a minority", 5, "0a 1a t", "unavailable"},
    {"counting replies of unknown replicas", 3, "3a 4a 5a t", "unavailable"},
});

}  // namespace

// Each row contains the failure that it guards against.
Test(claim_round, decides_as_given_in_the_table) {
  for (const Case& c : cases) {
    const std::string decisions = RunSteps(c.replicas, c.steps);
    cr_assert(decisions == c.expected, "%s: %s", c.guards_against, decisions.c_str());
  }
}

// Guards against counting a late reply to an earlier attempt for a later one.
Test(claim_round, replies_to_other_attempts_are_ignored) {
  ClaimRound round(3, SampleClaim(1, 9), {});
  cr_assert(!round.OnReply(Reply(0, 'a'), kNow).has_value());
  cr_assert(!round.OnReply(Reply(1, 'a'), kNow).has_value());
}

// Guards against counting the vote of a disk that was lost, whichever reply arrives first.
Test(claim_round, votes_of_older_incarnations_do_not_count) {
  ClaimReply old_vote = Reply(0, 'a');
  ClaimReply fenced = Reply(1, 'a');
  fenced.known.Raise(0, 2);
  for (const bool old_first : {true, false}) {
    ClaimRound round(3, SampleClaim(1, 1), {});
    cr_assert(!round.OnReply(old_first ? old_vote : fenced, kNow).has_value());
    cr_assert(!round.OnReply(old_first ? fenced : old_vote, kNow).has_value());
    cr_assert(round.OnReply(Reply(2, 'a'), kNow)->result == RoundResult::kRun);
  }
}

}  // namespace wagtailpick::claims
