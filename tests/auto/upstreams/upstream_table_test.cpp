#include "upstreams/upstream_table.h"

#include <criterion/criterion.h>

namespace {

using namespace wagtailpick::upstreams;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;
using wagtailpick::base::Duration;
using wagtailpick::base::MonotonicTime;

constexpr MonotonicTime kStart{seconds(1'000)};

UpstreamReport Report(const std::string& id, std::int64_t started, std::uint64_t sequence,
                      State state = State::kReady) {
  UpstreamReport report;
  report.id = id;
  report.started_unix_ms = started;
  report.sequence = sequence;
  report.state = state;
  report.service = "menu";
  report.address = "10.0.0.1:80";
  report.data_centre = "mvd-a";
  return report;
}

Change Apply(UpstreamTable& table, const UpstreamReport& report, MonotonicTime now = kStart) {
  return table.Apply(report, Duration(0), now);
}

}  // namespace

// Guards against a delayed announcement that makes a draining upstream ready again.
Test(upstream_table, ignores_announcements_that_are_older_than_the_drain) {
  UpstreamTable table;
  cr_expect(Apply(table, Report("a", 1, 1)) == Change::kChanged);
  cr_expect(Apply(table, Report("a", 1, 3, State::kDraining)) == Change::kChanged);
  cr_expect(Apply(table, Report("a", 1, 2)) == Change::kStale);
  cr_expect(table.Find("a")->report.state == State::kDraining);
}

// Guards against a run that becomes ready again because an announcement arrives after the report
// that it left, over another path.
Test(upstream_table, keeps_a_run_that_left_out_of_use) {
  UpstreamTable table;
  Apply(table, Report("a", 1, 1));
  cr_expect(Apply(table, Report("a", 1, 1, State::kLeft)) == Change::kChanged);
  cr_expect(Apply(table, Report("a", 1, 9)) == Change::kStale);
  cr_expect(table.Find("a")->report.state == State::kLeft);
}

// Guards against a restarted upstream that is ignored because its sequence starts again at 1.
Test(upstream_table, applies_a_later_start_with_the_same_id) {
  UpstreamTable table;
  Apply(table, Report("a", 1, 50));
  cr_expect(Apply(table, Report("a", 2, 1)) == Change::kChanged);
  cr_expect(Apply(table, Report("a", 1, 51)) == Change::kStale);
}

// Guards against requests to an upstream whose address another one uses now.
Test(upstream_table, keeps_one_ready_upstream_at_an_address) {
  UpstreamTable table;
  Apply(table, Report("old", 1, 5));
  Apply(table, Report("new", 2, 1));
  cr_expect(table.Find("old")->report.state == State::kLeft);
  cr_expect(Apply(table, Report("older", 0, 9)) == Change::kStale);
  cr_expect(Apply(table, Report("old", 1, 6)) == Change::kStale);
}

// Guards against upstreams that expire although they still send announcements.
Test(upstream_table, expires_by_silence_only) {
  UpstreamTable table;
  Apply(table, Report("a", 1, 1));
  cr_expect(table.ApplyHeartbeat("a", 1, 2, kStart + seconds(50)) == Change::kHeartbeat);
  cr_expect(table.ApplyHeartbeat("a", 0, 3, kStart + seconds(50)) == Change::kStale);
  cr_expect(table.Expire(seconds(60), kStart + seconds(100)).empty());
  cr_expect(table.Expire(seconds(60), kStart + seconds(111)).size() == 1);
}

// Guards against a cold upstream that counts as warm after its next announcement.
Test(upstream_table, remembers_until_when_an_upstream_is_cold) {
  UpstreamTable table;
  auto report = Report("a", 1, 1);
  report.cold_left = seconds(3);
  Apply(table, report);
  cr_expect(table.Find("a")->cold_until == kStart + seconds(3));
  report.sequence = 2;
  report.cold_left = Duration(0);
  cr_expect(Apply(table, report, kStart + seconds(1)) == Change::kHeartbeat);
  cr_expect(table.Find("a")->cold_until == kStart + seconds(3));
  report.sequence = 3;
  report.cold_left = seconds(5);
  cr_expect(Apply(table, report, kStart + seconds(2)) == Change::kChanged);
  table.MarkCold("mvd-a", kStart + seconds(20));
  cr_expect(table.Find("a")->cold_until == kStart + seconds(20));
}

// Guards against an index that still contains an upstream under its previous service or address, or
// after it has expired.
Test(upstream_table, finds_the_upstreams_of_a_service) {
  UpstreamTable table;
  Apply(table, Report("a", 1, 1));
  auto moved = Report("b", 1, 1);
  moved.address = "10.0.0.2:80";
  Apply(table, moved);
  cr_expect(table.OfService("menu").size() == 2);
  moved.sequence = 2;
  moved.service = "deposits";
  moved.address = "10.0.0.3:80";
  cr_expect(Apply(table, moved) == Change::kChanged);
  cr_expect(table.OfService("menu").size() == 1);
  cr_assert(table.OfService("deposits").size() == 1);
  cr_expect(table.OfService("deposits").front()->report.address == "10.0.0.3:80");
  // Its previous address is free for others, also for those that started earlier.
  auto other = Report("c", 0, 1);
  other.address = "10.0.0.2:80";
  cr_expect(Apply(table, other) == Change::kChanged);
  table.Expire(seconds(1), kStart + seconds(5));
  cr_expect(table.OfService("menu").empty());
  cr_expect(table.OfService("deposits").empty());
}

// Guards against a run that announced in an answer that it is leaving and becomes ready again by a
// later announcement, and against a delayed leaving report that ends the next run.
Test(upstream_table, keeps_a_run_that_left_by_an_answer_out_of_use) {
  UpstreamTable table;
  Apply(table, Report("a", 5, 1));
  const auto before = table.digests().total();
  cr_expect(!table.MarkLeft("a", 4).has_value());
  cr_expect(!table.MarkLeft("b", 5).has_value());
  const auto left = table.MarkLeft("a", 5);
  cr_assert(left.has_value());
  cr_expect(left->state == State::kLeft);
  cr_expect(table.digests().total() != before);
  cr_expect(!table.MarkLeft("a", 5).has_value());
  cr_expect(Apply(table, Report("a", 5, 9)) == Change::kStale);
  cr_expect(table.Find("a")->report.state == State::kLeft);
  cr_expect(Apply(table, Report("a", 6, 1)) == Change::kChanged);
  cr_expect(!table.MarkLeft("a", 5).has_value());
  cr_expect(Apply(table, *left) == Change::kStale);
  cr_expect(table.Find("a")->report.state == State::kReady);
}

// Guards against a leaving report that is ignored because its sender has seen fewer announcements
// of the run: other processes continued to use the upstream (soak seed 7110).
Test(upstream_table, applies_a_leaving_report_with_an_older_sequence) {
  UpstreamTable table;
  Apply(table, Report("a", 5, 9));
  auto left = Report("a", 5, 1);
  left.state = State::kLeft;
  cr_expect(Apply(table, left) == Change::kChanged);
  cr_expect(table.Find("a")->report.state == State::kLeft);
  cr_expect(Apply(table, left) == Change::kStale);
  cr_expect(Apply(table, Report("a", 6, 1)) == Change::kChanged);
  cr_expect(Apply(table, left) == Change::kStale);
}
