#include "claims/claim_round.h"

#include <criterion/criterion.h>

#include <array>
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
  reply.holder_deadline = kind == 'o' ? kNow - 101 : kNow - 99;
  reply.answer = "paid";
  reply.status = kind == 'a'                                 ? ClaimStatus::kAccepted
                 : kind == 'h' || kind == 'o' || kind == 'd' ? ClaimStatus::kHeld
                 : kind == 'c' || kind == 'C'                ? ClaimStatus::kCompleted
                 : kind == 'n'                               ? ClaimStatus::kAnswerNotKept
                 : kind == 'f'                               ? ClaimStatus::kFull
                                                             : ClaimStatus::kCopying;
  return reply;
}

/// Plays steps such as "0a 1h 2l t": replica 0 accepts, replica 1 is held by another attempt (`o`:
/// until a deadline that has passed, `d`: with another body), replica 2 is lost, the time is over.
/// `c` completed, `C` with another body, `n` answer not kept, `f` full, `y` copying.
std::string Play(std::size_t replicas, const std::string& script) {
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
    {"a repeated accept that counts twice", 3, "0a 0a", ""},
    {"a repeated accept that counts twice of 5", 5, "0a 1a 0a 1a", ""},
    {"one lost replica that stops claims", 3, "0l 1a 2a", "run"},
    {"two lost replicas that stop claims", 5, "0l 1a 2l 3a 4a", "run"},
    {"one foreign claim that stops a winner", 3, "0h 1a 2a", "run"},
    {"two winners", 3, "0a 1h 2h", "in_progress"},
    {"two winners of 5", 5, "0a 1a 2h 3h 4h", "in_progress"},
    {"a split that blocks the key", 5, "0a 1a 2h 3h 4l", "in_progress"},
    {"\"in progress\" after the deadline", 3, "0a 1o 2o", "may_have_run"},
    {"a stored answer that is missed", 3, "1o 2o 0c", "replay"},
    {"waiting for ever for a stored answer", 3, "1o 2o t", "may_have_run"},
    {"a stored answer that needs a majority", 3, "2c", "replay"},
    {"a second decision by late replies", 3, "0a 1a 2c 2h t", "run"},
    {"a second decision by late accepts", 3, "0h 1h 2a 0a 1a", "in_progress"},
    {"a late accept after a loss that is forgotten", 3, "0l 0a 1a", "run"},
    {"a replay without its answer", 3, "1n", "answer_not_kept"},
    {"a foreign answer", 3, "1C", "different_body"},
    {"a different body that is taken for the same", 3, "0d 1d", "different_body"},
    {"422 for a claim that may still lose", 3, "0d 1l 2l", "in_progress"},
    {"running without enough room", 3, "0f 1f 2a", "unavailable"},
    {"running on the word of replicas that copy", 3, "0y 1y 2a", "unavailable"},
    {"running when cut off", 3, "t", "unavailable"},
    {"running when cut off from most", 5, "0a 1a t", "unavailable"},
    {"replies of unknown replicas that count", 3, "3a 4a 5a t", "unavailable"},
});

}  // namespace

Test(claim_round, decides_as_the_table_says) {
  for (const Case& c : cases) {
    const std::string decisions = Play(c.replicas, c.steps);
    cr_assert(decisions == c.expected, "%s: %s", c.guards_against, decisions.c_str());
  }
}

// Guards against a reply to an earlier attempt that counts for a later one.
Test(claim_round, replies_to_other_attempts_are_ignored) {
  ClaimRound round(3, SampleClaim(1, 9), {});
  cr_assert(!round.OnReply(Reply(0, 'a'), kNow).has_value());
  cr_assert(!round.OnReply(Reply(1, 'a'), kNow).has_value());
}

// Guards against the vote of a disk that was lost, whichever reply comes first.
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
