#include <criterion/criterion.h>

#include <algorithm>
#include <random>

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

// Returns an accepting reply to the replica, or an append of a leader of a higher term.
Message RandomMessage(const SingleReplica& single, const Replica& replica,
                      std::mt19937_64& random) {
  const std::string sender = random() % 2 == 0 ? "b" : "c";
  switch (random() % 8) {
    case 0: {
      Message append = single.AppendFrom(sender, replica.last_index(), replica.term(), 0);
      ++append.term;
      return append;
    }
    case 1:
    case 2:
      return single.AckFrom(sender, replica.last_index(), single.now());
    default: {
      const bool pre_vote = replica.role() == Role::kPreCandidate;
      Message reply =
          single.From(sender, pre_vote ? MessageKind::kPreVoteReply : MessageKind::kVoteReply);
      reply.accepted = true;
      if (pre_vote) ++reply.term;
      return reply;
    }
  }
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

// Guards against a leader that is elected in a later term without a tick in between that finds it
// without the lead: `controller::ControlService` sets the leases of the sessions at its ticks, and
// would answer with those of the earlier term.
Test(election, a_tick_sees_the_loss_of_the_lead_before_the_next_term_is_led) {
  int terms_led = 0;
  for (std::uint64_t seed = 0; seed < 1'000; ++seed) {
    std::mt19937_64 random(seed);
    SingleReplica single;
    Replica& replica = single.replica();
    std::uint64_t led_term = 0;
    for (int step = 0; step < 400; ++step) {
      single.Step(RandomMessage(single, replica, random));
      if (random() % 2 == 0) single.DrainOutputs();
      const bool leads = replica.HasLease(single.now());
      cr_assert(!leads || led_term == 0 || led_term == replica.term(), "seed %d, step %d",
                static_cast<int>(seed), step);
      if (random() % 4 != 0) continue;
      single.Advance(static_cast<std::int64_t>(random() % 1'500));
      if (random() % 2 == 0) single.DrainOutputs();
      if (replica.role() != Role::kLeader) led_term = 0;
      if (!replica.HasLease(single.now()) || led_term == replica.term()) continue;
      led_term = replica.term();
      ++terms_led;
    }
  }
  cr_expect(terms_led > 1'000, "%d terms led", terms_led);
}
