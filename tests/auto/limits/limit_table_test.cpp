#include "limits/limit_table.h"

#include <criterion/criterion.h>

namespace {

using namespace wagtailpick;          // NOLINT(google-build-using-namespace)
using namespace wagtailpick::limits;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::MonotonicTime kStart{seconds(1'000)};
constexpr std::int64_t kRun = 5;

LimitReport Report(double requests_per_second, base::Duration age) {
  return {"u", kRun, requests_per_second, false, age};
}

}  // namespace

// Guards against an older limit that replaces a newer one because it arrives last.
Test(limit_table, keeps_the_newest_statement_in_any_order) {
  LimitTable table;
  cr_expect(table.Apply(Report(3, milliseconds(100)), kStart) == LimitChange::kStarted);
  cr_expect(table.Apply(Report(9, milliseconds(900)), kStart) == LimitChange::kNone);
  cr_expect(table.Find("u", kRun)->requests_per_second == 3);
  cr_expect(table.Apply(Report(4, {}), kStart) == LimitChange::kChanged);
  cr_expect(table.Find("u", kRun)->requests_per_second == 4);
}

// Guards against a limit that ends because of an answer that the upstream wrote before it set one.
Test(limit_table, ends_only_by_a_request_sent_after_the_limit) {
  LimitTable table;
  table.RecordAnswer("u", kRun, 2.4, kStart, kStart + milliseconds(50));
  const auto later = kStart + seconds(1);
  cr_expect(table.RecordAnswer("u", kRun, {}, kStart, later) == LimitChange::kNone);
  cr_expect(!table.Find("u", kRun)->ended);
  cr_expect(table.RecordAnswer("u", kRun, {}, kStart + milliseconds(60), later) ==
            LimitChange::kEnded);
  cr_expect(table.Find("u", kRun)->ended);
}

// Guards against an ended limit that a late report of another entry brings back.
Test(limit_table, an_older_report_does_not_restore_an_ended_limit) {
  LimitTable table;
  table.Apply(Report(2, seconds(3)), kStart);
  table.RecordAnswer("u", kRun, {}, kStart, kStart + milliseconds(10));
  cr_expect(table.Apply(Report(2, seconds(2)), kStart + milliseconds(20)) == LimitChange::kNone);
  cr_expect(table.Find("u", kRun)->ended);
  cr_expect(table.in_force() == 0);
}

// Guards against a limit that outlives the run that named it.
Test(limit_table, a_new_run_starts_without_the_limit_of_the_old_one) {
  LimitTable table;
  table.Apply(Report(2, {}), kStart);
  cr_expect(table.Find("u", kRun + 1) == nullptr);
  table.Apply({"u", kRun + 1, 7, false, {}}, kStart);
  cr_expect(table.Apply(Report(2, {}), kStart + seconds(1)) == LimitChange::kNone);
  cr_expect(table.Find("u", kRun + 1)->requests_per_second == 7);
}

// Guards against limits that other processes never hear of, and against entries that each send back
// what a replica has told them, which also makes an old statement look newer.
Test(limit_table, returns_each_change_of_its_own_answers_once) {
  LimitTable table;
  table.RecordAnswer("u", kRun, 2, kStart, kStart);
  cr_expect(table.ConsumeChanges(kStart).size() == 1);
  table.RecordAnswer("u", kRun, 2, kStart, kStart + seconds(1));
  cr_expect(table.ConsumeChanges(kStart + seconds(1)).empty());
  table.RecordAnswer("u", kRun, {}, kStart + seconds(2), kStart + seconds(3));
  const auto changes = table.ConsumeChanges(kStart + seconds(3));
  cr_assert(changes.size() == 1);
  cr_expect(changes[0].ended);
  cr_expect(changes[0].age == seconds(1));
  table.Apply({"u", kRun, 4, false, {}}, kStart + seconds(4));
  cr_expect(table.ConsumeChanges(kStart + seconds(4)).empty());
}

// Guards against memory that grows with each upstream that ever named a limit.
Test(limit_table, removes_limits_of_runs_that_are_over) {
  LimitTable table;
  table.Apply(Report(2, {}), kStart);
  table.RemoveIf([](const std::string& /*upstream*/, const RateLimit& limit) {
    return limit.started_unix_ms == kRun;
  });
  cr_expect(table.empty());
}
