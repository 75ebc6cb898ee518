#include "observation/merger.h"

#include <criterion/criterion.h>

#include <algorithm>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using observation::Condition;
using observation::Merger;
using observation::Observation;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::MonotonicTime kStart{seconds(100)};

std::vector<Condition> ConditionsOf(Merger& merger, base::MonotonicTime now) {
  return merger.Conditions(now, [](const std::string&) { return std::string("service"); });
}

Observation Slow(const std::string& upstream, std::uint32_t entries = 1) {
  return {upstream, 0, entries, 0, entries};
}

Observation Failed(const std::string& upstream, std::uint32_t entries = 1) {
  return {upstream, 0, 0, entries, entries};
}

Observation Good(const std::string& upstream, std::uint32_t count = 1) {
  return {upstream, count, 0, 0, 0};
}

/// Others of the service that answer well.
void TakeOthers(Merger& merger, base::MonotonicTime now) {
  for (int i = 0; i < 9; ++i) merger.Take({Good("other" + std::to_string(i), 3)}, now);
}

bool IsSpared(Merger& merger, base::MonotonicTime now) {
  const auto conditions = ConditionsOf(merger, now);
  return !conditions.empty() && conditions.front().spared;
}

/// A merger that spares upstream "a" since `kStart`.
Merger Sparing() {
  Merger merger;
  TakeOthers(merger, kStart);
  merger.Take({Slow("a", 3)}, kStart);
  cr_assert(IsSpared(merger, kStart));
  return merger;
}

}  // namespace

// Guards against a slow upstream that no entry meets often enough to learn of it alone.
Test(merger, spares_what_several_entries_saw) {
  Merger merger;
  TakeOthers(merger, kStart);
  merger.Take({Slow("a")}, kStart);
  merger.Take({Slow("a")}, kStart + milliseconds(500));
  cr_expect(!IsSpared(merger, kStart + milliseconds(500)));
  merger.Take({Slow("a")}, kStart + seconds(1));
  cr_expect(IsSpared(merger, kStart + seconds(1)));
}

// Guards against an upstream that answers some requests and fails the others.
Test(merger, spares_what_fails_in_part) {
  Merger merger;
  TakeOthers(merger, kStart);
  merger.Take({Failed("a", 3), Good("a", 5)}, kStart);
  cr_expect(IsSpared(merger, kStart));
}

// Guards against a sound upstream that is taken away by the bad luck of one entry.
Test(merger, one_entry_alone_spares_nothing) {
  Merger merger;
  TakeOthers(merger, kStart);
  merger.Take({{"a", 0, 9, 0, 1}}, kStart);
  cr_expect(!IsSpared(merger, kStart));
}

// Guards against old words that add up, and against an upstream that runs some objects cold.
Test(merger, weighs_recent_requests_only) {
  Merger merger;
  for (int i = 0; i < 5; ++i) {
    TakeOthers(merger, kStart + seconds(4 * i));
    merger.Take({Slow("a")}, kStart + seconds(4 * i));
  }
  cr_expect(!IsSpared(merger, kStart + seconds(16)));
  Merger mixed;
  TakeOthers(mixed, kStart);
  mixed.Take({Slow("a", 3), Good("a", 3)}, kStart);
  cr_expect(!IsSpared(mixed, kStart));
}

// Guards against upstreams that are spared because the whole service is cold, or fails.
Test(merger, spares_nothing_that_is_as_bad_as_the_others) {
  Merger merger;
  for (int i = 0; i < 20; ++i) {
    merger.Take({Slow(std::to_string(i), 3), Good(std::to_string(i))}, kStart);
  }
  merger.Take({Slow("20", 5)}, kStart);
  cr_expect(ConditionsOf(merger, kStart).empty());
}

// Guards against an upstream that is well again and gets no work.
Test(merger, uses_an_upstream_again_that_answers_well) {
  auto merger = Sparing();
  merger.Take({Good("a")}, kStart + seconds(2));
  cr_expect(IsSpared(merger, kStart + seconds(2)));
  merger.Take({Good("a")}, kStart + seconds(3));
  cr_expect(!IsSpared(merger, kStart + seconds(3)));
  auto unseen = Sparing();
  cr_expect(unseen.Conditions(kStart + seconds(7), [](const auto&) { return ""; }).empty());
}

// Guards against a slow upstream that gets all its work back every few seconds.
Test(merger, keeps_sparing_while_probes_are_bad) {
  auto merger = Sparing();
  for (int second = 2; second <= 20; second += 2) {
    TakeOthers(merger, kStart + seconds(second));
    merger.Take({Slow("a")}, kStart + seconds(second));
    cr_expect(IsSpared(merger, kStart + seconds(second)));
  }
}

// Guards against a service that is taken out of use upstream by upstream.
Test(merger, spares_a_part_of_a_service_at_most) {
  Merger merger;
  for (int i = 0; i < 9; ++i) merger.Take({Good("other" + std::to_string(i), 9)}, kStart);
  for (int i = 0; i < 6; ++i) merger.Take({Slow(std::to_string(i), 3)}, kStart);
  const auto conditions = ConditionsOf(merger, kStart);
  cr_expect(conditions.size() == 4, "%zu", conditions.size());
}
