#include <criterion/criterion.h>

#include "single_replica.h"

using namespace wagtailpick::consensus;  // NOLINT(google-build-using-namespace)
using wagtailpick::consensus::testing::SingleReplica;

namespace {

// A follower with entries 1 to 3 of term 1 and 4 to 5 of term 2; entry 1 is committed.
SingleReplica FollowerWithLog() {
  RecoveredState state = Replica::InitialState({"a", "b", "c"});
  state.hard_state.term = 3;
  for (std::uint64_t i = 1; i <= 5; ++i) {
    state.entries.push_back({i, i <= 3 ? 1U : 2U, EntryKind::kData, "old"});
  }
  SingleReplica single("c", state);
  Message heartbeat = single.AppendFrom("a", 1, 1, 0);
  heartbeat.commit = 1;
  single.Step(heartbeat);
  single.DrainOutputs();
  return single;
}

}  // namespace

// Guards against storing entries after a gap or a conflict, and against acknowledging entries that
// the leader did not send.
Test(append, reply_depends_on_where_the_logs_match) {
  const struct {
    const char* what;
    std::uint64_t log_index;
    std::uint64_t log_term;
    std::size_t entries;
    bool accepted;
    std::uint64_t match;
    std::uint64_t last_index;
  } cases[] = {
      {"follows the last entry", 5, 2, 2, true, 7, 7},
      {"gap", 9, 3, 1, false, 5, 5},
      {"conflict skips the whole term", 5, 3, 1, false, 3, 5},
      {"conflict stops at the commit index", 3, 2, 1, false, 1, 5},
      {"replaces a conflicting tail", 3, 1, 1, true, 4, 4},
      {"heartbeat at an earlier position acknowledges only up to it", 2, 1, 0, true, 2, 5},
      {"position 0 always matches", 0, 0, 0, true, 0, 5},
  };
  for (const auto& row : cases) {
    SingleReplica single = FollowerWithLog();
    single.Step(single.AppendFrom("a", row.log_index, row.log_term, row.entries));
    const std::vector<Message> sent = single.DrainOutputs();
    cr_assert_eq(sent.size(), 1, "%s", row.what);
    cr_expect_eq(sent[0].accepted, row.accepted, "%s", row.what);
    cr_expect_eq(sent[0].match, row.match, "%s", row.what);
    cr_expect_eq(single.replica().last_index(), row.last_index, "%s", row.what);
  }
}

// Guards against committing entries at the end of the log that the leader does not have.
Test(append, commits_only_up_to_the_last_index_that_the_message_matches) {
  SingleReplica single = FollowerWithLog();
  Message heartbeat = single.AppendFrom("a", 3, 1, 0);
  heartbeat.commit = 5;
  single.Step(heartbeat);
  cr_assert_eq(single.replica().commit_index(), 3);
}

// Guards against acting on messages from a faulty peer or an older incarnation.
Test(append, ignores_malformed_and_misaddressed_messages) {
  const struct {
    const char* what;
    void (*change)(Message&);
  } cases[] = {
      {"index gap in the entries", [](Message& m) { m.entries[0].index = 9; }},
      {"entry of a later term", [](Message& m) { m.entries[0].term = 9; }},
      {"membership that cannot be parsed",
       [](Message& m) { m.entries[0].kind = EntryKind::kMembership; }},
      {"for another incarnation", [](Message& m) { m.to.incarnation = 2; }},
      {"for any incarnation", [](Message& m) { m.to.incarnation = 0; }},
      {"for another replica", [](Message& m) { m.to.name = "b"; }},
      {"from its own name", [](Message& m) { m.from.name = "c"; }},
      {"from an older incarnation", [](Message& m) { m.from.incarnation = 0; }},
  };
  for (const auto& row : cases) {
    SingleReplica single = FollowerWithLog();
    Message message = single.AppendFrom("a", 5, 2, 1);
    message.term = 4;
    row.change(message);
    single.Step(message);
    cr_expect(single.DrainOutputs().empty(), "%s", row.what);
    cr_expect_eq(single.replica().last_index(), 5, "%s", row.what);
  }
}

// Guards against acknowledging entries that a crash would lose.
Test(append, an_acknowledgement_waits_for_its_own_sync) {
  SingleReplica single = FollowerWithLog();
  single.Step(single.AppendFrom("a", 5, 2, 1));
  const Output first = single.replica().ConsumeOutput();
  cr_assert(first.messages.empty());
  single.Step(single.AppendFrom("a", 6, 3, 1));
  const Output second = single.replica().ConsumeOutput();
  cr_assert(second.messages.empty());
  single.replica().Synced(first.sync.id, single.now());
  const std::vector<Message> sent = single.replica().ConsumeOutput().messages;
  cr_assert_eq(sent.size(), 1);
  cr_assert_eq(sent[0].match, 6);
}

// Guards against an old leader counting an acknowledgement of entries that a new leader replaced
// before they were on disk.
Test(append, an_acknowledgement_of_an_older_term_is_dropped) {
  SingleReplica single = FollowerWithLog();
  single.Step(single.AppendFrom("a", 5, 2, 1));
  const Output first = single.replica().ConsumeOutput();
  Message newer = single.AppendFrom("b", 5, 2, 0);
  newer.term = 4;
  newer.entries = {{6, 4, EntryKind::kData, "other"}};
  single.Step(newer);
  single.replica().Synced(first.sync.id, single.now());
  for (const Message& message : single.DrainOutputs()) cr_assert_eq(message.term, 4);
}

// Guards against counting a sync for entries that replaced the synced ones.
Test(append, a_sync_does_not_count_for_entries_that_replaced_the_synced_ones) {
  SingleReplica single = FollowerWithLog();
  single.Step(single.AppendFrom("a", 5, 2, 1));
  single.replica().ConsumeOutput();
  Message heartbeat = single.AppendFrom("b", 0, 0, 0);
  heartbeat.term = 4;
  single.Step(heartbeat);
  const Output term_change = single.replica().ConsumeOutput();
  Message replacing = single.AppendFrom("b", 5, 2, 0);
  replacing.entries = {{6, 4, EntryKind::kData, "other"}};
  replacing.commit = 6;
  single.Step(replacing);
  single.replica().Synced(term_change.sync.id, single.now());
  single.replica().ConsumeOutput();
  single.Step(replacing);
  // The repeated entry is answered immediately, with the last index on disk.
  const auto sent = single.replica().ConsumeOutput().messages;
  cr_assert_eq(sent.size(), 1);
  cr_assert_eq(sent[0].match, 5);
}

// Guards against a leader counting a follower as lost while the follower's disk is slow. The
// follower must answer heartbeats and repeated entries, but only acknowledge what is on disk.
Test(append, a_heartbeat_is_answered_while_entries_are_being_written) {
  SingleReplica single = FollowerWithLog();
  single.Step(single.AppendFrom("a", 5, 2, 1));
  const Output writing = single.replica().ConsumeOutput();
  cr_assert(writing.messages.empty());
  for (const std::uint64_t count : {0U, 1U}) {
    single.Step(single.AppendFrom("a", 6 - count, count == 0 ? 3 : 2, count));
    const auto sent = single.replica().ConsumeOutput(false).messages;
    cr_assert_eq(sent.size(), 1);
    cr_expect(sent[0].accepted);
    cr_expect_eq(sent[0].match, 5);
  }
}

// Guards against committing an entry that is on one disk only, and against a snapshot that covers
// entries not yet on disk: the leader's own copy counts, and a committed entry is returned to
// apply, only once it is synced.
Test(append, an_unsynced_entry_is_neither_counted_nor_applied) {
  SingleReplica leader;
  leader.BecomeLeader();
  cr_assert(leader.replica().Propose("x", leader.now()));
  const Output proposed = leader.replica().ConsumeOutput();
  leader.Step(leader.AckFrom("b", 2, leader.now()));
  cr_expect_eq(leader.replica().commit_index(), 1);
  leader.replica().Synced(proposed.sync.id, leader.now());
  cr_expect_eq(leader.replica().commit_index(), 2);

  SingleReplica follower = FollowerWithLog();
  Message append = follower.AppendFrom("a", 5, 2, 1);
  append.commit = 6;
  follower.Step(append);
  const Output stored = follower.replica().ConsumeOutput();
  cr_expect_eq(stored.committed.back().index, 5);
  follower.replica().Synced(stored.sync.id, follower.now());
  cr_expect_eq(follower.replica().ConsumeOutput().committed.back().index, 6);
}

// Guards against acknowledging anything after a failed sync.
Test(append, a_failed_sync_stops_the_replica) {
  SingleReplica single;
  single.BecomeLeader();
  cr_assert(single.replica().Propose("x", single.now()));
  single.replica().ConsumeOutput();
  single.replica().SyncFailed();
  single.Advance(5'000);
  single.Step(single.AppendFrom("b", 0, 0, 0));
  cr_assert(single.DrainOutputs().empty());
  cr_assert(!single.replica().LeaderHint());
  cr_assert_eq(single.replica().fault()->code, wagtailpick::base::ErrorCode::kIo);
  cr_assert_eq(single.replica().Propose("y", single.now()).error().code,
               wagtailpick::base::ErrorCode::kUnavailable);
}

// Guards against committing an entry of an older term because a majority has it: a later leader may
// still replace it.
Test(append, commits_older_entries_only_through_one_of_its_own_term) {
  RecoveredState state = Replica::InitialState({"a", "b", "c"});
  state.hard_state.term = 2;
  state.entries = {{1, 2, EntryKind::kData, "older"}};
  SingleReplica single("a", state);
  single.BecomeLeader();
  single.Step(single.AckFrom("b", 1, single.now()));
  cr_assert_eq(single.replica().commit_index(), 0);
  single.Step(single.AckFrom("b", 2, single.now()));
  cr_assert_eq(single.replica().commit_index(), 2);
}

// Guards against unbounded memory use while no quorum answers.
Test(append, refuses_proposals_beyond_the_backlog_limit) {
  SingleReplica single;
  single.BecomeLeader();
  const std::string large(15U << 20U, 'x');
  for (int i = 0; i < 4; ++i) cr_assert(single.replica().Propose(large, single.now()));
  cr_assert_eq(single.replica().Propose(large, single.now()).error().code,
               wagtailpick::base::ErrorCode::kLimitExceeded);
  cr_assert_eq(single.replica().Propose(large + "x", single.now()).error().code,
               wagtailpick::base::ErrorCode::kLimitExceeded);
}
