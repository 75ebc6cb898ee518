#include "node/upstream_sync.h"

#include <criterion/criterion.h>

#include "cluster/message_codec.h"
#include "node/report_answer_cache.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using node::UpstreamSync;
using std::chrono::milliseconds;
using std::chrono::seconds;
using upstreams::UpstreamTable;

constexpr base::MonotonicTime kStart{seconds(100)};
constexpr int kUpstreams = 807;

upstreams::UpstreamReport Report(int number) {
  upstreams::UpstreamReport report;
  report.id = "i-" + std::to_string(number * 7'919);
  report.started_unix_ms = 1'000;
  report.sequence = 1;
  report.service = "menu";
  report.address = "10.128.0." + std::to_string(number) + ":9080";
  report.data_centre = "mvd-a";
  report.slots = 3;
  return report;
}

void Fill(UpstreamTable& table, int count) {
  for (int i = 0; i < count; ++i) table.Apply(Report(i), {}, kStart);
}

/// A replica's table and that of an entry which follows the replica. Counts the bytes that the
/// replica sends.
struct SyncPair {
  UpstreamTable replica;
  UpstreamTable entry;
  UpstreamSync sync{entry};
  std::size_t bytes = 0;

  void Answer(const cluster::ReportsRequest& request, base::MonotonicTime now) {
    const auto answer = node::MakeReportsAnswer(replica, request, now);
    bytes += cluster::Encode(answer).size();
    for (const auto& aged : answer.reports) entry.Apply(aged.report, aged.age, now);
    sync.ApplyAnswer(answer);
  }

  void Follow(base::MonotonicTime now) { Answer(sync.StartFollowing(), now); }

  /// Sends the liveness message that is due once a second.
  void SendLiveness(base::MonotonicTime now) {
    const auto liveness = node::MakeLiveness(replica, now);
    bytes += cluster::Encode(liveness).size();
    if (const auto request = sync.HandleLiveness(liveness, now)) Answer(*request, now);
  }

  /// Applies a heartbeat of every upstream but `crashed` to the replica's table.
  void HeartbeatAll(base::MonotonicTime now, const std::string& crashed = {}) {
    for (int i = 0; i < kUpstreams; ++i) {
      const auto report = Report(i);
      const auto* known = replica.Find(report.id);
      if (known == nullptr || report.id == crashed) continue;
      replica.ApplyHeartbeat(report.id, report.started_unix_ms, known->report.sequence + 1, now);
    }
  }
};

/// Does what happens when the link from replica `from` to replica `to` opens. Returns the bytes of
/// the answer and of the reports that follow it.
std::size_t SyncReplicas(UpstreamTable& from, UpstreamTable& to, base::MonotonicTime now) {
  const auto answer = node::MakeReportsAnswer(to, node::MakeReportsRequest(from), now);
  for (const auto& aged : answer.reports) from.Apply(aged.report, aged.age, now);
  const auto missing = node::MakeMissingReports(from, answer, now);
  for (const auto& aged : missing.reports) to.Apply(aged.report, aged.age, now);
  const auto missing_bytes = missing.reports.empty() ? 0 : cluster::Encode(missing).size();
  return cluster::Encode(answer).size() + missing_bytes;
}

}  // namespace

// Guards against sending the reports of all upstreams whenever the followed replica changes: for
// 807 upstreams they are 120 KB, which take half a second on an entry's link.
Test(upstream_sync, transfers_only_reports_that_differ) {
  SyncPair pair;
  Fill(pair.replica, kUpstreams);
  pair.Follow(kStart);
  cr_expect(pair.entry.all().size() == kUpstreams);
  cr_expect(pair.bytes < 40'000, "%zu bytes at a start", pair.bytes);
  pair.bytes = 0;
  pair.Follow(kStart + seconds(1));
  cr_expect(pair.bytes < 100, "%zu bytes when nothing differs", pair.bytes);
  auto changed = Report(5);
  changed.sequence = 2;
  changed.state = upstreams::State::kDraining;
  pair.replica.Apply(changed, {}, kStart + seconds(1));
  pair.Follow(kStart + seconds(2));
  cr_expect(pair.bytes < 2'000, "%zu bytes for one change", pair.bytes);
  cr_expect(pair.entry.Find(changed.id)->report.state == upstreams::State::kDraining);
}

// Guards against forwarding each heartbeat to the entries: 538 heartbeats per second would be 14 KB
// per second at each entry.
Test(upstream_sync, transfers_little_while_all_upstreams_are_alive) {
  SyncPair pair;
  Fill(pair.replica, kUpstreams);
  pair.Follow(kStart);
  pair.bytes = 0;
  for (int second = 1; second <= 20; ++second) {
    const auto now = kStart + seconds(second);
    pair.HeartbeatAll(now);
    pair.SendLiveness(now);
  }
  cr_expect(pair.bytes < 2'000, "%zu bytes in 20 s", pair.bytes);
  const auto* known = pair.entry.Find(Report(7).id);
  cr_expect(pair.entry.SilenceOf(*known) <= seconds(4));
}

// Guards against counting a crashed upstream as alive.
Test(upstream_sync, lists_a_silent_upstream) {
  UpstreamTable replica;
  replica.Apply(Report(1), {}, kStart);
  replica.Apply(Report(2), {}, kStart + seconds(20));
  const auto liveness = node::MakeLiveness(replica, kStart + seconds(20));
  cr_assert(liveness.silent.size() == 1);
  cr_expect(liveness.silent.at(0).id == Report(1).id);
  UpstreamTable entry;
  entry.Apply(Report(1), {}, kStart);
  entry.Apply(Report(2), {}, kStart);
  UpstreamSync(entry).HandleLiveness(liveness, kStart + seconds(20));
  cr_expect(entry.SilenceOf(*entry.Find(Report(1).id)) == seconds(20));
  cr_expect(entry.SilenceOf(*entry.Find(Report(2).id)) < seconds(4));
}

// Guards against an upstream that only the entry knows and that never becomes silent, as no
// liveness message lists it. The other upstreams must not become silent because the tables differ.
Test(upstream_sync, lets_an_upstream_unknown_to_the_replica_become_silent) {
  SyncPair pair;
  Fill(pair.replica, 10);
  Fill(pair.entry, 11);
  pair.Follow(kStart);
  for (int second = 1; second <= 20; ++second) {
    const auto now = kStart + seconds(second);
    pair.HeartbeatAll(now);
    pair.SendLiveness(now);
  }
  cr_expect(pair.entry.SilenceOf(*pair.entry.Find(Report(10).id)) == seconds(20));
  cr_expect(pair.entry.SilenceOf(*pair.entry.Find(Report(4).id)) <= seconds(4));
}

// Guards against a crashed upstream that becomes fresh when the replica forgets it while the tables
// differ for another reason: the replica does not list it as silent any more.
Test(upstream_sync, refreshes_no_upstream_that_the_replica_has_forgotten) {
  constexpr seconds kForgetAfter{60};
  SyncPair pair;
  Fill(pair.replica, 10);
  Fill(pair.entry, 11);
  pair.Follow(kStart);
  const auto crashed = Report(3).id;
  for (int second = 1; second <= 90; ++second) {
    const auto now = kStart + seconds(second);
    pair.HeartbeatAll(now, crashed);
    pair.replica.Expire(kForgetAfter, now);
    pair.SendLiveness(now);
    const auto silence = pair.entry.SilenceOf(*pair.entry.Find(crashed));
    cr_assert(silence >= seconds(second - 4), "%d s silent after %d s",
              static_cast<int>(base::ToSeconds(silence)), second);
    cr_assert(pair.entry.SilenceOf(*pair.entry.Find(Report(4).id)) <= seconds(4));
  }
}

// Guards against tables that keep differing after a report was lost.
Test(upstream_sync, requests_a_lost_report) {
  SyncPair pair;
  Fill(pair.replica, kUpstreams - 1);
  pair.Follow(kStart);
  pair.replica.Apply(Report(kUpstreams - 1), {}, kStart + seconds(1));
  pair.SendLiveness(kStart + seconds(1));
  cr_expect(pair.entry.Find(Report(kUpstreams - 1).id) == nullptr);
  pair.SendLiveness(kStart + seconds(2));
  cr_expect(pair.entry.Find(Report(kUpstreams - 1).id) != nullptr);
}

// Guards against an entry that removes all upstreams while it is cut off from all replicas itself.
Test(upstream_sync, keeps_upstreams_while_no_replica_is_reached) {
  SyncPair pair;
  Fill(pair.replica, 10);
  pair.Follow(kStart);
  const auto* known = pair.entry.Find(Report(1).id);
  cr_expect(pair.entry.SilenceOf(*known) == seconds(0));
  cr_expect(pair.entry.Expire(seconds(60), pair.entry.last_received_at()).empty());
}

// Guards against an upstream that counts as cold for its full warm-up time again whenever its
// report is sent to another process.
Test(upstream_sync, reports_the_remaining_cold_time) {
  UpstreamTable table;
  auto report = Report(1);
  report.cold_left = seconds(3);
  table.Apply(report, {}, kStart);
  table.ApplyHeartbeat(report.id, report.started_unix_ms, 2, kStart + seconds(2));
  const auto early = node::MakeAgedReport(*table.Find(report.id), kStart + seconds(2));
  cr_expect(early.report.cold_left == seconds(1));
  table.ApplyHeartbeat(report.id, report.started_unix_ms, 3, kStart + seconds(20));
  const auto late = node::MakeAgedReport(*table.Find(report.id), kStart + seconds(20));
  cr_expect(late.report.cold_left == seconds(0));
}

// Guards against a link between replicas that carries all reports whenever it opens, and against a
// report that stays unknown to one of them.
Test(upstream_sync, sends_to_a_replica_what_it_lacks) {
  UpstreamTable replica;
  UpstreamTable other;
  Fill(replica, kUpstreams);
  Fill(other, kUpstreams - 1);
  const auto bytes = SyncReplicas(replica, other, kStart + seconds(1));
  cr_expect(bytes < 2'000, "%zu bytes for one report", bytes);
  cr_expect(replica.digests().total() == other.digests().total());
  cr_expect(SyncReplicas(replica, other, kStart + seconds(2)) < 50);
}

// Guards against an old report that makes a leaving upstream ready again or ends its next run,
// whichever of the two replicas has it.
Test(upstream_sync, keeps_the_newest_state_of_both_replicas) {
  auto left = Report(1);
  left.sequence = 5;
  left.state = upstreams::State::kLeft;
  auto next_run = Report(2);
  next_run.started_unix_ms = 9'000;
  auto draining = Report(3);
  draining.sequence = 2;
  draining.state = upstreams::State::kDraining;
  for (const bool newer_at_requester : {false, true}) {
    UpstreamTable newer;
    UpstreamTable older;
    Fill(newer, 4);
    Fill(older, 4);
    for (const auto& report : {left, next_run, draining}) newer.Apply(report, {}, kStart);
    auto late_left = Report(2);
    late_left.sequence = 7;
    late_left.state = upstreams::State::kLeft;
    older.Apply(late_left, {}, kStart);
    auto late_ready = left;
    late_ready.sequence = 4;
    late_ready.state = upstreams::State::kReady;
    older.Apply(late_ready, {}, kStart);
    SyncReplicas(newer_at_requester ? newer : older, newer_at_requester ? older : newer, kStart);
    for (const auto* table : {&newer, &older}) {
      cr_expect(table->Find(left.id)->report.state == upstreams::State::kLeft);
      cr_expect(table->Find(next_run.id)->report == next_run);
      cr_expect(table->Find(draining.id)->report.state == upstreams::State::kDraining);
    }
  }
}

// Guards against a replica that is busy for seconds when all processes start at once: 60 entries
// request the same 807 reports, and encoding one answer takes milliseconds on a small VM.
Test(report_answer_cache, encodes_one_answer_for_many_entries) {
  UpstreamTable table;
  Fill(table, kUpstreams);
  node::ReportAnswerCache cache;
  const auto nothing = node::MakeReportsRequest(UpstreamTable());
  for (int i = 0; i < 60; ++i) {
    const auto& frame = cache.Answer(table, nothing, kStart + milliseconds(i));
    const auto message = cluster::Decode(frame);
    cr_assert(message.has_value());
    cr_expect(std::get<cluster::Reports>(message.value()).reports.size() == kUpstreams);
  }
  cr_expect(cache.encode_count() == 1);
  // A changed table, a different request and a later time each need a new answer.
  auto changed = Report(5);
  changed.sequence = 2;
  changed.state = upstreams::State::kDraining;
  table.Apply(changed, {}, kStart);
  cache.Answer(table, nothing, kStart + milliseconds(60));
  cache.Answer(table, node::MakeReportsRequest(table), kStart + milliseconds(60));
  cache.Answer(table, nothing, kStart + milliseconds(60));
  cache.Answer(table, nothing, kStart + seconds(2));
  cr_expect(cache.encode_count() == 5);
}
