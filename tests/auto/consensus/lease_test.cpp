#include <criterion/criterion.h>

#include "single_replica.h"

using namespace wagtailpick::consensus;  // NOLINT(google-build-using-namespace)
using wagtailpick::consensus::testing::SingleReplica;

namespace {

wagtailpick::base::Duration Millis(std::int64_t millis) {
  return std::chrono::milliseconds(millis);
}

}  // namespace

// Guards against a leader serving reads after another one may have been elected.
Test(lease, runs_800_ms_from_when_the_answered_heartbeat_was_sent) {
  SingleReplica single;
  single.BecomeLeader();
  const auto sent_at = single.now();
  single.Advance(300);
  single.Step(single.AckFrom("b", 1, sent_at));
  single.DrainOutputs();
  cr_expect(single.replica().HasLease(single.now()));
  cr_expect(single.replica().HasLease(sent_at + Millis(799)));
  cr_expect(!single.replica().HasLease(sent_at + Millis(800)));
}

// Guards against a new leader serving reads before it has applied what its predecessor committed.
Test(lease, starts_once_an_entry_of_the_term_is_returned_to_apply) {
  SingleReplica single;
  single.BecomeLeader();
  single.Step(single.AckFrom("b", 0, single.now()));
  cr_expect(!single.replica().HasLease(single.now()));
  single.Step(single.AckFrom("b", 1, single.now()));
  cr_expect(!single.replica().HasLease(single.now()));
  single.DrainOutputs();
  cr_expect(single.replica().HasLease(single.now()));
}

// Guards against extending the lease by answers of a lost disk, a non-member or an older term.
Test(lease, only_answers_of_current_voters_in_this_term_extend_it) {
  const struct {
    ReplicaKey from;
    std::uint64_t terms_back;
    bool extends;
  } cases[] = {
      {{"c", 1}, 0, true}, {{"c", 2}, 0, false}, {{"d", 1}, 0, false}, {{"c", 1}, 1, false}};
  for (const auto& row : cases) {
    SingleReplica single;
    single.BecomeLeader();
    single.Step(single.AckFrom("b", 1, single.now()));
    single.DrainOutputs();
    single.Advance(900);
    Message answer = single.AckFrom("c", 1, single.now());
    answer.from = row.from;
    answer.term -= row.terms_back;
    single.Step(answer);
    cr_expect_eq(single.replica().HasLease(single.now()), row.extends, "%s %lu, %lu terms back",
                 row.from.name.c_str(), row.from.incarnation, row.terms_back);
  }
}

// Guards against a leader that has lost its quorum and delays the election of another one.
Test(lease, a_leader_without_answers_steps_down) {
  SingleReplica single;
  single.BecomeLeader();
  single.Advance(1'000);
  cr_expect(single.replica().role() == Role::kLeader);
  single.Advance(1);
  cr_expect(single.replica().role() == Role::kFollower);
  cr_expect(!single.replica().LeaderHint());
}
