#include <criterion/criterion.h>

#include "fake_disk.h"
#include "log_model.h"

using wagtailpick::storage::FakeDisk;
using wagtailpick::storage::Fault;
using wagtailpick::storage::LogModel;
using wagtailpick::storage::LogStore;
using wagtailpick::storage::LogWorkload;
using wagtailpick::storage::ReadModel;

namespace {

constexpr int kSteps = 40;
constexpr std::uint64_t kCompactionFloor = 300;

// Recovers after a crash, with another crash at operation `at` of the first attempt. Returns
// whether the recovered state is one that the workload allows.
bool RecoversAllowedState(FakeDisk& disk, LogWorkload& work, int at) {
  disk.Inject(Fault::kCrash, at);
  (void)LogStore::Open(disk.Ops(), "d/log", kCompactionFloor);
  disk.Restart();
  auto store = LogStore::Open(disk.Ops(), "d/log", kCompactionFloor);
  if (store.has_error()) return false;
  auto found = ReadModel(store.value());
  if (found.has_error() || !work.IsPossibleAfterCrash(found.value())) return false;
  work.Resume(std::move(found.value()));
  return true;
}

// Runs one seed with a crash at file operation `at`, recovers, runs further operations and crashes
// again. Returns false when a recovered state is not allowed. Sets `crashed` to whether operation
// `at` was reached.
bool SurvivesCrashAt(FakeDisk& disk, std::uint64_t seed, int at, bool& crashed) {
  auto store = LogStore::Create(disk.Ops(), "d/log", kCompactionFloor);
  LogWorkload work(seed);
  disk.Inject(Fault::kCrash, at);
  for (int step = 0; step < kSteps && !disk.crashed(); ++step) {
    if (work.Step(store.value()).has_error() && !disk.crashed()) return false;
  }
  crashed = disk.crashed();
  disk.Restart();
  if (!RecoversAllowedState(disk, work, 1 + at % 6)) return false;
  auto again = LogStore::Open(disk.Ops(), "d/log", kCompactionFloor);
  for (int step = 0; step < kSteps / 2; ++step) {
    if (work.Step(again.value()).has_error()) return false;
  }
  disk.Restart();
  return RecoversAllowedState(disk, work, 1 + at % 5);
}

// Crashes at every file operation of every seed; returns the number of failed runs.
int CountViolations(std::uint64_t seeds, bool ignore_files, bool ignore_folders) {
  int violations = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    bool crashed = true;
    for (int at = 1; crashed; ++at) {
      FakeDisk disk(seed * 1'000 + static_cast<std::uint64_t>(at));
      disk.IgnoreSyncs(ignore_files, ignore_folders);
      if (!SurvivesCrashAt(disk, seed, at, crashed)) ++violations;
    }
  }
  return violations;
}

}  // namespace

// Guards against losing a synced entry, vote or trim, and against truncated entries that reappear.
Test(log_store, recovers_a_synced_state_after_a_crash_at_every_operation) {
  cr_assert_eq(CountViolations(60, false, false), 0);
}

// Guards against crash runs that do not detect a missing sync.
Test(log_store, crash_runs_detect_missing_syncs) {
  cr_assert_gt(CountViolations(5, true, false), 0, "file syncs off");
  cr_assert_gt(CountViolations(20, false, true), 0, "folder syncs off");
}

// Guards against keeping conflicting entries after a snapshot installed from the leader.
Test(log_store, trim_to_a_position_with_another_term_removes_all_entries) {
  FakeDisk disk(1);
  auto store = LogStore::Create(disk.Ops(), "d/log").value();
  cr_assert(!store.Append(std::vector{LogModel{}.entries}).has_error());
  const std::vector<wagtailpick::storage::LogEntry> entries{{1, 1, 0, "a"}, {2, 1, 0, "b"}};
  cr_assert(!store.Append(entries).has_error());
  cr_assert(!store.TrimTo({1, 2}).has_error());
  cr_assert_eq(store.last_index(), 1U);
  cr_assert(store.Read(2).has_error());
}

// Guards against a gap in the log.
Test(log_store, refuses_an_entry_out_of_order) {
  FakeDisk disk(1);
  auto store = LogStore::Create(disk.Ops(), "d/log").value();
  const std::vector<wagtailpick::storage::LogEntry> entries{{1, 1, 0, "a"}, {3, 1, 0, "c"}};
  cr_assert(store.Append(entries).has_error());
  cr_assert_eq(store.last_index(), 0U);
}
