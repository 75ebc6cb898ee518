#include "storage/snapshot_store.h"

#include <criterion/criterion.h>

#include "fake_disk.h"

using wagtailpick::base::ErrorCode;
using wagtailpick::storage::FakeDisk;
using wagtailpick::storage::Fault;
using wagtailpick::storage::Snapshot;
using wagtailpick::storage::SnapshotStore;

namespace {

Snapshot MakeSnapshot(std::uint64_t index) {
  return {{index, 1}, "members", std::string(index * 10, 's')};
}

// Saves three snapshots with a crash at operation `at`. Returns whether the snapshot found
// afterwards is the last saved one or the one that was being saved.
bool SurvivesCrashAt(FakeDisk& disk, int at, bool& crashed) {
  SnapshotStore store(disk.Ops(), "d/snapshot");
  disk.Inject(Fault::kCrash, at);
  std::uint64_t saved = 0;
  while (saved < 3 && !store.Save(MakeSnapshot(saved + 1)).has_error()) ++saved;
  crashed = disk.crashed();
  disk.Restart();
  const auto found = SnapshotStore(disk.Ops(), "d/snapshot").Load();
  if (found.has_error()) return false;
  const std::uint64_t index = found.value() ? found.value()->last.index : 0;
  if (index != saved && index != saved + 1) return false;
  return index == 0 || *found.value() == MakeSnapshot(index);
}

int CountViolations(bool ignore_files, bool ignore_folders) {
  int violations = 0;
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    bool crashed = true;
    for (int at = 1; crashed; ++at) {
      FakeDisk disk(seed * 100 + static_cast<std::uint64_t>(at));
      disk.IgnoreSyncs(ignore_files, ignore_folders);
      if (!SurvivesCrashAt(disk, at, crashed)) ++violations;
    }
  }
  return violations;
}

}  // namespace

// Guards against finding a half-written snapshot, and against losing a saved one.
Test(snapshot_store, holds_the_old_or_the_new_snapshot_after_a_crash_at_every_operation) {
  cr_assert_eq(CountViolations(false, false), 0);
}

// Guards against crash runs that do not detect a missing sync.
Test(snapshot_store, crash_runs_detect_missing_syncs) {
  cr_assert_gt(CountViolations(true, false), 0, "file syncs off");
  cr_assert_gt(CountViolations(false, true), 0, "folder syncs off");
}

// Guards against an older snapshot that reappears after the log was trimmed up to the loaded one.
Test(snapshot_store, a_loaded_snapshot_survives_a_crash) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    FakeDisk disk(seed);
    SnapshotStore store(disk.Ops(), "d/snapshot");
    cr_assert(!store.Save(MakeSnapshot(1)).has_error());
    disk.Inject(Fault::kFailedFolderSync, 1);
    cr_assert(store.Save(MakeSnapshot(2)).has_error());
    cr_assert_eq(SnapshotStore(disk.Ops(), "d/snapshot").Load().value()->last.index, 2U);
    disk.Restart();
    cr_assert_eq(SnapshotStore(disk.Ops(), "d/snapshot").Load().value()->last.index, 2U);
  }
}

// Guards against loading a damaged snapshot, and against treating it as a missing one.
Test(snapshot_store, refuses_every_flipped_bit_and_every_cut) {
  FakeDisk disk(1);
  SnapshotStore store(disk.Ops(), "d/snapshot");
  cr_assert(!store.Save(MakeSnapshot(2)).has_error());
  const std::string intact = disk.ContentOf("d/snapshot");
  for (std::size_t at = 0; at < intact.size(); ++at) {
    std::string& content = disk.ContentOf("d/snapshot");
    content = intact;
    content[at] ^= 8;
    cr_assert(store.Load().error().code == ErrorCode::kCorrupt, "flip at %zu", at);
    content = intact.substr(0, at);
    cr_assert(store.Load().error().code == ErrorCode::kCorrupt, "cut at %zu", at);
  }
}
