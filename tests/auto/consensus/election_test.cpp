#include <criterion/criterion.h>

#include <algorithm>

#include "simulation/checker.h"
#include "single_replica.h"

using namespace wagtailpick::consensus;  // NOLINT(google-build-using-namespace)
using wagtailpick::consensus::simulation::Checker;
using wagtailpick::consensus::simulation::Violation;
using wagtailpick::consensus::testing::SingleReplica;

namespace {

// Whether the replica grants a vote for `term` to "b", whose last entry is (`index`, `log_term`).
bool GrantsVote(SingleReplica& single, std::uint64_t term, std::uint64_t index = 0,
                std::uint64_t log_term = 0) {
  Message request = single.From("b", MessageKind::kVote);
  request.term = term;
  request.log_index = index;
  request.log_term = log_term;
  single.Step(request);
  const std::vector<Message> sent = single.DrainOutputs();
  return std::any_of(sent.begin(), sent.end(), [](const Message& message) {
    return message.kind == MessageKind::kVoteReply && message.accepted;
  });
}

}  // namespace

// Guards against a vote that elects a second leader while the first one's lease is valid.
Test(election, gives_no_vote_within_1000_ms_of_a_leader_or_of_its_start) {
  const struct {
    bool has_leader;
    std::int64_t wait_ms;
    bool granted;
  } cases[] = {{false, 0, false}, {false, 999, false}, {false, 1'000, true},
               {true, 0, false},  {true, 999, false},  {true, 1'000, true}};
  for (const auto& row : cases) {
    SingleReplica single("c");
    if (row.has_leader) {
      single.Advance(900);
      single.Step(single.AppendFrom("a", 0, 0, 0));
      single.DrainOutputs();
    }
    single.Advance(row.wait_ms);
    cr_expect_eq(GrantsVote(single, 5), row.granted, "has leader: %d, wait %ld ms", row.has_leader,
                 row.wait_ms);
  }
}

// Guards against electing a leader that lacks committed entries.
Test(election, votes_only_for_a_log_that_is_up_to_date) {
  const struct {
    std::uint64_t index;
    std::uint64_t term;
    bool granted;
  } cases[] = {{0, 0, false}, {2, 2, false}, {9, 1, false}, {3, 2, true}, {1, 3, true}};
  for (const auto& row : cases) {
    RecoveredState state = Replica::InitialState({"a", "b", "c"});
    state.hard_state.term = 2;
    for (std::uint64_t i = 1; i <= 3; ++i) state.entries.push_back({i, 2, EntryKind::kData, "x"});
    SingleReplica single("a", state);
    single.Advance(1'000);
    cr_expect_eq(GrantsVote(single, 4, row.index, row.term), row.granted, "log ends at %lu/%lu",
                 row.index, row.term);
  }
}

// Guards against a vote that is sent before it is on disk.
Test(election, a_vote_is_held_back_until_it_is_synced) {
  SingleReplica single;
  single.Advance(1'000);
  Message request = single.From("b", MessageKind::kVote);
  request.term = 1;
  single.Step(request);
  const Output output = single.replica().ConsumeOutput();
  cr_assert(output.messages.empty());
  cr_assert_eq(output.sync.hard_state->voted_for.name, "b");
  single.replica().Synced(output.sync.id, single.now());
  cr_assert_eq(single.replica().ConsumeOutput().messages.size(), 1);
}

// Guards against two leaders in one term after a voter restarts. The second case removes the vote
// from the disk; the checker must then report two leaders.
Test(election, a_vote_survives_a_restart) {
  for (const bool forget : {false, true}) {
    SingleReplica voter("c");
    voter.Advance(1'000);
    Checker checker;
    // "a" and "b" are both candidates in term 1, and each has its own vote already.
    if (GrantsVote(voter, 1)) checker.OnLeader(1, {"b", 1});
    if (forget) voter.disk().state().hard_state.voted_for = {};
    voter.Restart();
    voter.Advance(1'000);
    Message late = voter.From("a", MessageKind::kVote);
    late.term = 1;
    voter.Step(late);
    const std::vector<Message> sent = voter.DrainOutputs();
    cr_assert_eq(sent.size(), 1);
    if (sent[0].accepted) checker.OnLeader(1, {"a", 1});
    cr_expect_eq(checker.count(Violation::kTwoLeaders), forget ? 1 : 0);
  }
}

// Guards against a replica that was disconnected deposing a working leader by its higher term.
Test(election, a_pre_vote_raises_no_term) {
  SingleReplica single;
  single.Advance(1'400);
  cr_assert(single.replica().role() == Role::kPreCandidate);
  Message request = single.From("b", MessageKind::kPreVote);
  request.term = 7;
  single.Step(request);
  cr_assert_eq(single.replica().term(), 0);
}

// Guards against counting votes of learners, non-members or lost disks, or a vote twice.
Test(election, only_votes_of_current_voters_count) {
  const ReplicaKey cases[] = {{"b", 2}, {"c", 2}, {"d", 1}, {"a", 1}};
  for (const ReplicaKey& voter : cases) {
    RecoveredState state = Replica::InitialState({"a", "b", "c"});
    state.snapshot->membership.Put({{"b", 2}, MemberRole::kLearner});
    state.snapshot->membership.Put({{"e", 1}, MemberRole::kVoter});
    SingleReplica single("a", state);
    single.Advance(1'400);
    single.DrainOutputs();
    Message reply = single.From("b", MessageKind::kPreVoteReply);
    reply.from = voter;
    reply.accepted = true;
    ++reply.term;
    single.Step(reply);
    single.Step(reply);
    cr_expect(single.replica().role() == Role::kPreCandidate, "%s %lu", voter.name.c_str(),
              voter.incarnation);
  }
}
