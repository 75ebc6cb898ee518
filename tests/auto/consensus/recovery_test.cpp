#include <criterion/criterion.h>

#include "simulation/cluster.h"
#include "single_replica.h"

using namespace wagtailpick::consensus;  // NOLINT(google-build-using-namespace)
using wagtailpick::base::ErrorCode;
using wagtailpick::consensus::simulation::Cluster;
using wagtailpick::consensus::testing::CreateAt;
using wagtailpick::consensus::testing::MakeOptions;

namespace {

constexpr std::uint64_t kSecond = 1'000'000;

RecoveredState StateWith(std::uint64_t snapshot_index, std::vector<Entry> entries) {
  RecoveredState state = Replica::InitialState({"a", "b", "c"});
  state.hard_state.term = 2;
  state.snapshot->index = snapshot_index;
  state.snapshot->term = snapshot_index > 0 ? 2 : 0;
  state.snapshot->data = std::make_shared<const std::string>("state");
  state.entries = std::move(entries);
  return state;
}

Entry EntryAt(std::uint64_t index, std::uint64_t term) {
  return {index, term, EntryKind::kData, "x"};
}

}  // namespace

// Guards against starting from a stored state that would lead to wrong votes or acknowledgements.
Test(recovery, accepts_states_that_a_crash_leaves_and_refuses_others) {
  const struct {
    const char* what;
    RecoveredState state;
    bool accepted;
    std::uint64_t last_index;
    bool drop_log;
  } cases[] = {
      {"empty disk", {}, true, 0, false},
      {"entries after the snapshot", StateWith(5, {EntryAt(6, 2)}), true, 6, false},
      {"untrimmed entries", StateWith(5, {EntryAt(4, 2), EntryAt(5, 2), EntryAt(6, 2)}), true, 6,
       false},
      {"log not dropped, too short", StateWith(5, {EntryAt(1, 1)}), true, 5, true},
      {"log not dropped, other term", StateWith(5, {EntryAt(5, 1), EntryAt(6, 1)}), true, 5, true},
      {"gap after the snapshot", StateWith(5, {EntryAt(7, 2)}), false, 0, false},
      {"gap between entries", StateWith(0, {EntryAt(1, 1), EntryAt(3, 1)}), false, 0, false},
      {"falling terms", StateWith(0, {EntryAt(1, 2), EntryAt(2, 1)}), false, 0, false},
      {"entry above the stored term", StateWith(0, {EntryAt(1, 3)}), false, 0, false},
      {"broken membership", StateWith(0, {{1, 1, EntryKind::kMembership, "x"}}), false, 0, false},
  };
  for (const auto& row : cases) {
    auto replica = CreateAt("a", row.state, {});
    cr_assert_eq(replica.has_value(), row.accepted, "%s", row.what);
    if (!row.accepted) {
      cr_expect(replica.error().code == ErrorCode::kCorrupt, "%s", row.what);
      continue;
    }
    cr_expect_eq(replica.value().last_index(), row.last_index, "%s", row.what);
    cr_expect_eq(replica.value().ConsumeOutput().sync.drop_log, row.drop_log, "%s", row.what);
  }
}

// Guards against settings that break the lease or the elections without an error.
Test(recovery, invalid_options_are_refused_by_name) {
  const struct {
    const char* setting;
    void (*change)(Options&);
  } cases[] = {
      {"self.name", [](Options& o) { o.self.name.clear(); }},
      {"self.incarnation", [](Options& o) { o.self.incarnation = 0; }},
      {"random", [](Options& o) { o.random = nullptr; }},
      {"heartbeat_interval", [](Options& o) { o.heartbeat_interval = {}; }},
      {"retry_interval", [](Options& o) { o.retry_interval = {}; }},
      {"leader_lease", [](Options& o) { o.leader_lease = o.heartbeat_interval; }},
      {"vote_silence", [](Options& o) { o.vote_silence = o.leader_lease; }},
      {"election_timeout_min", [](Options& o) { o.election_timeout_min = o.leader_lease; }},
      {"election_timeout_max", [](Options& o) { o.election_timeout_max = o.vote_silence; }},
      {"message limits", [](Options& o) { o.max_append_bytes = 0; }},
      {"message limits", [](Options& o) { o.max_snapshot_bytes = 0; }},
      {"max_uncommitted_bytes", [](Options& o) { o.max_uncommitted_bytes = 1; }},
  };
  for (const auto& row : cases) {
    Options options = MakeOptions("a");
    row.change(options);
    const auto replica = Replica::Create(options, {}, {});
    cr_assert(!replica, "%s", row.setting);
    cr_expect(replica.error().message.find(std::string(": ") + row.setting) != std::string::npos,
              "%s", replica.error().message.c_str());
  }
}

// Guards against a follower that never catches up after the leader trimmed the entries it needs and
// the snapshot, in many parts, is sent over a lossy link.
Test(recovery, a_lagging_follower_catches_up_by_snapshot_over_a_lossy_link) {
  Cluster cluster(11, 3, 3);
  cluster.RunFor(4 * kSecond);
  const std::size_t leader = *cluster.Leader();
  const std::size_t follower = (leader + 1) % 3;
  cluster.Crash(follower);
  for (int i = 0; i < 100; ++i) {
    cr_assert(cluster.Propose(leader, "missed " + std::to_string(i)));
    cluster.RunFor(kSecond / 50);
  }
  cluster.conditions().drop_percent = 20;
  cluster.conditions().duplicate_percent = 20;
  cluster.Restart(follower);
  cluster.RunFor(10 * kSecond);
  cr_expect_geq(cluster.applied(follower), 100);
  cr_expect_gt(cluster.replica(follower).snapshot_index(), 0);
  cr_expect_eq(cluster.checker().total(), 0);
}

// Guards against a snapshot of entries that are not committed or that a snapshot covers already.
Test(recovery, a_snapshot_is_taken_only_of_applied_entries) {
  wagtailpick::consensus::testing::SingleReplica single;
  single.BecomeLeader();
  cr_expect(!single.replica().TakeSnapshot(1, "x"));
  single.Step(single.AckFrom("b", 1, single.now()));
  cr_expect(!single.replica().TakeSnapshot(1, "x"));
  single.DrainOutputs();
  cr_expect(!single.replica().TakeSnapshot(2, "x"));
  cr_expect(single.replica().TakeSnapshot(1, "x"));
  cr_expect(!single.replica().TakeSnapshot(1, "x"));
}

// Guards against a snapshot that the owner can't read and that replaces the state on disk, or is
// acknowledged to the leader.
Test(recovery, an_unreadable_snapshot_stops_the_replica_and_is_not_stored) {
  Options options = MakeOptions("a");
  options.check_snapshot = [](const std::string& data) -> wagtailpick::base::Result<void> {
    if (data == "state") return wagtailpick::base::Ok();
    return wagtailpick::base::Fail(wagtailpick::base::ErrorCode::kCorrupt, "unreadable");
  };
  for (const std::string data : {"state", "no state"}) {
    const auto state = Replica::InitialState({"a", "b"});
    auto created = Replica::Create(options, state, {});
    cr_assert(created.has_value());
    Replica& replica = created.value();
    Message message;
    message.kind = MessageKind::kSnapshot;
    message.from = {"b", 1};
    message.to = {"a", 1};
    message.term = 2;
    message.chunk = {5, 2, state.snapshot->membership.Encode(), 0, data, true};
    replica.Step(message, {});
    const bool readable = data == "state";
    cr_expect(replica.fault().has_value() == !readable);
    cr_expect(replica.snapshot_index() == (readable ? 5 : 0));
    const auto output = replica.ConsumeOutput(true);
    cr_expect(output.sync.snapshot.has_value() == readable);
    cr_expect(readable || output.messages.empty());
  }
}

// Guards against a leader's snapshot that fills the memory, as nothing limits the sum of its parts,
// and against a limit that refuses a snapshot of just that size.
Test(recovery, a_snapshot_above_the_limit_stops_the_replica) {
  for (const bool fits : {true, false}) {
    Options options = MakeOptions("a");
    options.max_snapshot_bytes = 100;
    const auto state = Replica::InitialState({"a", "b"});
    auto created = Replica::Create(options, state, {});
    cr_assert(created.has_value());
    Replica& replica = created.value();
    Message message;
    message.kind = MessageKind::kSnapshot;
    message.from = {"b", 1};
    message.to = {"a", 1};
    message.term = 2;
    message.chunk = {5, 2, state.snapshot->membership.Encode(), 0, std::string(50, 'x'), false};
    replica.Step(message, {});
    cr_assert(!replica.fault());
    message.chunk.offset = 50;
    message.chunk.last = true;
    if (!fits) message.chunk.data += 'x';
    replica.Step(message, {});
    if (fits) {
      cr_expect(!replica.fault() && replica.snapshot_index() == 5);
    } else {
      cr_assert(replica.fault().has_value());
      cr_expect(replica.fault()->code == wagtailpick::base::ErrorCode::kLimitExceeded);
      cr_expect(replica.snapshot_index() == 0);
    }
  }
}
