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

/// A replica and an entry that follows it, with a count of the bytes that the entry is sent.
struct World {
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

  void Second(base::MonotonicTime now) {
    const auto heard = node::MakeLiveness(replica, now);
    bytes += cluster::Encode(heard).size();
    if (const auto request = sync.HandleLiveness(heard, now)) Answer(*request, now);
  }

  void HeartbeatAll(base::MonotonicTime now) {
    for (int i = 0; i < kUpstreams; ++i) {
      const auto report = Report(i);
      const auto* known = replica.Find(report.id);
      if (known == nullptr) continue;
      replica.NoteHeard(report.id, report.started_unix_ms, known->report.sequence + 1, now);
    }
  }
};

}  // namespace

// Guards against reports of all upstreams for each change of the followed replica: at 807 upstreams
// they are 120 KB, half a second of an entry's link.
Test(upstream_sync, costs_what_differs) {
  World world;
  Fill(world.replica, kUpstreams);
  world.Follow(kStart);
  cr_expect(world.entry.all().size() == kUpstreams);
  cr_expect(world.bytes < 40'000, "%zu bytes at a start", world.bytes);
  world.bytes = 0;
  world.Follow(kStart + seconds(1));
  cr_expect(world.bytes < 100, "%zu bytes when nothing differs", world.bytes);
  auto moved = Report(5);
  moved.sequence = 2;
  moved.state = upstreams::State::kDraining;
  world.replica.Apply(moved, {}, kStart + seconds(1));
  world.Follow(kStart + seconds(2));
  cr_expect(world.bytes < 2'000, "%zu bytes for one change", world.bytes);
  cr_expect(world.entry.Find(moved.id)->report.state == upstreams::State::kDraining);
}

// Guards against a word for each announcement: 538 a second are 14 KB a second at each entry.
Test(upstream_sync, costs_little_while_all_are_heard) {
  World world;
  Fill(world.replica, kUpstreams);
  world.Follow(kStart);
  world.bytes = 0;
  for (int second = 1; second <= 20; ++second) {
    const auto now = kStart + seconds(second);
    world.HeartbeatAll(now);
    world.Second(now);
  }
  cr_expect(world.bytes < 2'000, "%zu bytes in 20 s", world.bytes);
  const auto* known = world.entry.Find(Report(7).id);
  cr_expect(world.entry.SilenceOf(*known) <= seconds(4));
}

// Guards against an upstream that has crashed and is taken for one that was heard.
Test(upstream_sync, tells_of_a_silent_upstream) {
  UpstreamTable lone;
  lone.Apply(Report(1), {}, kStart);
  lone.Apply(Report(2), {}, kStart + seconds(20));
  const auto heard = node::MakeLiveness(lone, kStart + seconds(20));
  cr_assert(heard.silent.size() == 1);
  cr_expect(heard.silent.at(0).id == Report(1).id);
  UpstreamTable entry;
  entry.Apply(Report(1), {}, kStart);
  entry.Apply(Report(2), {}, kStart);
  UpstreamSync(entry).HandleLiveness(heard, kStart + seconds(20));
  cr_expect(entry.SilenceOf(*entry.Find(Report(1).id)) == seconds(20));
  cr_expect(entry.SilenceOf(*entry.Find(Report(2).id)) < seconds(4));
}

// Guards against an upstream that only the entry knows and that stays in use for ever, as nobody
// tells that it is silent; the others must not become silent over the difference.
Test(upstream_sync, does_not_vouch_for_what_the_replica_does_not_know) {
  World world;
  Fill(world.replica, 10);
  Fill(world.entry, 11);
  world.Follow(kStart);
  for (int second = 1; second <= 20; ++second) {
    const auto now = kStart + seconds(second);
    world.HeartbeatAll(now);
    world.Second(now);
  }
  cr_expect(world.entry.SilenceOf(*world.entry.Find(Report(10).id)) == seconds(20));
  cr_expect(world.entry.SilenceOf(*world.entry.Find(Report(4).id)) <= seconds(4));
}

// Guards against a lost report: the tables differ for good.
Test(upstream_sync, finds_a_report_that_was_lost) {
  World world;
  Fill(world.replica, kUpstreams - 1);
  world.Follow(kStart);
  world.replica.Apply(Report(kUpstreams - 1), {}, kStart + seconds(1));
  world.Second(kStart + seconds(1));
  cr_expect(world.entry.Find(Report(kUpstreams - 1).id) == nullptr);
  world.Second(kStart + seconds(2));
  cr_expect(world.entry.Find(Report(kUpstreams - 1).id) != nullptr);
}

// Guards against an entry that is cut off from all replicas and takes every upstream for gone.
Test(upstream_sync, silence_of_all_says_nothing_about_one) {
  World world;
  Fill(world.replica, 10);
  world.Follow(kStart);
  const auto* known = world.entry.Find(Report(1).id);
  cr_expect(world.entry.SilenceOf(*known) == seconds(0));
  cr_expect(world.entry.Expire(seconds(60), world.entry.heard_any_at()).empty());
}

// Guards against an upstream that is held for cold again whenever another process is told of it.
Test(upstream_sync, tells_the_coldness_that_is_left) {
  UpstreamTable table;
  auto report = Report(1);
  report.cold_left = seconds(3);
  table.Apply(report, {}, kStart);
  table.NoteHeard(report.id, report.started_unix_ms, 2, kStart + seconds(2));
  const auto early = node::MakeAgedReport(*table.Find(report.id), kStart + seconds(2));
  cr_expect(early.report.cold_left == seconds(1));
  table.NoteHeard(report.id, report.started_unix_ms, 3, kStart + seconds(20));
  const auto late = node::MakeAgedReport(*table.Find(report.id), kStart + seconds(20));
  cr_expect(late.report.cold_left == seconds(0));
}

// Guards against a replica that is busy for seconds when all processes start at once: 60 entries
// ask it for the same 807 reports, and each answer takes milliseconds of a small VM to encode.
Test(report_answer_cache, encodes_one_answer_for_many_entries) {
  UpstreamTable table;
  Fill(table, kUpstreams);
  node::ReportAnswerCache answers;
  const auto nothing = node::MakeReportsRequest(UpstreamTable());
  for (int i = 0; i < 60; ++i) {
    const auto& frame = answers.Answer(table, nothing, kStart + milliseconds(i));
    const auto message = cluster::Decode(frame);
    cr_assert(message.has_value());
    cr_expect(std::get<cluster::Reports>(message.value()).reports.size() == kUpstreams);
  }
  cr_expect(answers.encoded() == 1);
  // Another table, another request, and a later time each get an answer of their own.
  auto moved = Report(5);
  moved.sequence = 2;
  moved.state = upstreams::State::kDraining;
  table.Apply(moved, {}, kStart);
  answers.Answer(table, nothing, kStart + milliseconds(60));
  answers.Answer(table, node::MakeReportsRequest(table), kStart + milliseconds(60));
  answers.Answer(table, nothing, kStart + milliseconds(60));
  answers.Answer(table, nothing, kStart + seconds(2));
  cr_expect(answers.encoded() == 5);
}
