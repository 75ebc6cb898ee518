#include "routing/summary_table.h"

#include <criterion/criterion.h>

#include <cmath>

#include "fixtures.h"

namespace wagtailpick::routing {
namespace {

bool Near(float left, float right) { return std::abs(left - right) < 0.01F; }

class OnePool {
 public:
  OnePool() { table.Apply(SummaryOf(1, 8, 10), 2 * kMs, At(1'000)); }

  float Free(std::int64_t at) const { return table.Rows(0, 0).front().Free(At(at)); }
  const OwnedPool& row() const { return table.Rows(0, 0).front(); }

  SummaryTable table{ThreeRegions(), 2};
  OwnedPoolKey key{101, 1, 0};
};

}  // namespace

// Guards against requests that are sent because of an old report.
Test(summary_table, free_slots_decay_with_age) {
  const OnePool pool;
  cr_expect(Near(pool.Free(1'000), 8));
  cr_expect(Near(pool.Free(1'300), 8));
  cr_expect(Near(pool.Free(1'650), 4));
  cr_expect(Near(pool.Free(2'000), 0));
  cr_expect(Near(pool.Free(60'000), 0));
}

// Guards against an entry that sends many more requests than there are free slots between two
// summaries.
Test(summary_table, own_forwards_since_the_summary_are_subtracted) {
  OnePool pool;
  pool.table.RecordForward(pool.key, At(1'010));
  pool.table.RecordForward(pool.key, At(1'099));
  cr_expect(Near(pool.Free(1'100), 6));
  // The next summary includes the first request, but was made before the second one arrived.
  pool.table.Apply(SummaryOf(1, 7, 10, 2), 2 * kMs, At(1'100));
  cr_expect(Near(pool.Free(1'100), 6));
  pool.table.RecordAnswer(pool.key, At(1'099), 10 * kMs, At(1'110));
  cr_expect(Near(pool.Free(1'110), 7));
}

// Guards against a late summary that replaces a newer one, and against ignoring an entry forever
// that restarted and numbers its summaries from 1 again.
Test(summary_table, older_summaries_are_ignored_until_the_newer_one_is_stale) {
  OnePool pool;
  cr_expect(pool.table.Apply(SummaryOf(1, 5, 10, 9), 2 * kMs, At(1'100)));
  cr_expect(!pool.table.Apply(SummaryOf(1, 10, 10, 8), 2 * kMs, At(1'150)));
  cr_expect(!pool.table.Apply(SummaryOf(1, 10, 10, 9), 2 * kMs, At(1'150)));
  cr_expect(Near(pool.Free(1'150), 5));
  cr_expect(pool.table.Apply(SummaryOf(1, 6, 10, 1), 2 * kMs, At(2'101)));
  cr_expect(Near(pool.Free(2'101), 6));
}

// Guards against further requests to an owner that reports free slots but sheds.
Test(summary_table, a_shed_lowers_the_accept_rate_and_sets_no_free_slots_until_the_next_summary) {
  OnePool pool;
  std::uint64_t sequence = 1;
  for (std::int64_t at = 1'000; at < 2'000; at += 20) {
    pool.table.RecordForward(pool.key, At(at));
    pool.table.RecordShed(pool.key, At(at), At(at));
    cr_expect(Near(pool.Free(at), 0));
    pool.table.Apply(SummaryOf(1, 10, 10, ++sequence), 2 * kMs, At(at + 10));
  }
  cr_expect(pool.Free(2'000) < 0.5F);
  // The accept rate has recovered after a time without requests.
  pool.table.Apply(SummaryOf(1, 10, 10, ++sequence), 2 * kMs, At(7'000));
  cr_expect(pool.Free(7'000) > 9.9F);
}

// Guards against using a reported latency while this entry has observed a different one.
Test(summary_table, own_observations_replace_the_reported_latency) {
  OnePool pool;
  for (int i = 0; i < 50; ++i) {
    pool.table.RecordAnswer(pool.key, At(0), 40 * kMs, At(1'001));
  }
  pool.table.Apply(SummaryOf(1, 8, 10, 2, kMs), 2 * kMs, At(1'100));
  cr_expect(Near(pool.row().latency_us, 40'000));
  pool.table.Apply(SummaryOf(1, 8, 10, 3, kMs), 2 * kMs, At(3'200));
  cr_expect(Near(pool.row().latency_us, 1'000));
}

// Guards against exact counts that are aged like a report.
Test(summary_table, own_slots_have_no_age) {
  OnePool pool;
  pool.table.SetLocal(SummaryOf(1, 3, 10), At(1'000));
  pool.table.RecordForward(pool.key, At(1'000));
  cr_expect(Near(pool.Free(90'000), 3));
}

// Guards against remaining rows of an entry that has left, and against writes outside the table.
Test(summary_table, unknown_places_are_refused_and_former_entries_are_removed) {
  OnePool pool;
  cr_expect(!pool.table.Apply({{1, 6, 0}, 1, 1, kMs, 1}, kMs, At(1'000)));
  cr_expect(!pool.table.Apply({{1, 0, 2}, 1, 1, kMs, 1}, kMs, At(1'000)));
  cr_expect(pool.table.Rows(2, 0).empty() && pool.table.Rows(0, 3).empty());
  pool.table.Remove(101);
  cr_expect(pool.table.Rows(0, 0).empty());
}

}  // namespace wagtailpick::routing
