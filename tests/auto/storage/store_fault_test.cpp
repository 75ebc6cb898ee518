#include <criterion/criterion.h>

#include "fake_disk.h"
#include "storage/claim_log.h"
#include "storage/log_store.h"
#include "storage/snapshot_store.h"

using wagtailpick::base::ErrorCode;
using wagtailpick::storage::ClaimLog;
using wagtailpick::storage::FakeDisk;
using wagtailpick::storage::Fault;
using wagtailpick::storage::LogEntry;
using wagtailpick::storage::LogStore;
using wagtailpick::storage::SnapshotStore;

namespace {

struct FaultCase {
  const char* name;
  Fault fault;
  // Part of the failed call's error message; null when the store handles the fault itself.
  const char* reason;
};

const FaultCase write_faults[] = {
    {"failed write", Fault::kFailedWrite, "write of d/store"},
    {"short write", Fault::kShortWrite, nullptr},
    {"full disk", Fault::kFullDisk, "no space left"},
    {"failed sync", Fault::kFailedSync, "sync of d/store"},
};

const FaultCase replace_faults[] = {
    {"failed write", Fault::kFailedWrite, "write of d/store"},
    {"short write", Fault::kShortWrite, nullptr},
    {"full disk", Fault::kFullDisk, "no space left"},
    {"failed sync", Fault::kFailedSync, "sync of d/store"},
    {"failed rename", Fault::kFailedRename, "rename of d/store"},
    {"failed folder sync", Fault::kFailedFolderSync, "sync of d failed"},
};

const std::vector<LogEntry> two_entries{{1, 1, 0, "a"}, {2, 1, 0, "b"}};

template <typename T>
void ExpectFailure(const FaultCase& test, const T& result) {
  cr_assert(result.has_error() && result.error().code == ErrorCode::kIo, "%s", test.name);
  cr_assert(result.error().message.find(test.reason) != std::string::npos, "%s: %s", test.name,
            result.error().message.c_str());
}

}  // namespace

// Guards against a store that continues after a failure and acknowledges changes it may have lost.
Test(store_fault, log_store_reports_a_failure_on_every_later_call) {
  for (const auto& test : write_faults) {
    FakeDisk disk(1);
    auto store = LogStore::Create(disk.Ops(), "d/store").value();
    disk.Inject(test.fault, 1);
    cr_assert(!store.Append(two_entries).has_error(), "%s", test.name);
    const auto synced = store.Sync();
    if (test.reason == nullptr) {
      cr_assert(!synced.has_error(), "%s", test.name);
      disk.Restart();
      auto reopened = LogStore::Open(disk.Ops(), "d/store").value();
      cr_assert(reopened.ReadAll().value() == two_entries, "%s", test.name);
      continue;
    }
    ExpectFailure(test, synced);
    ExpectFailure(test, store.Sync());
    ExpectFailure(test, store.SetHardState({2, "b", 1}));
    ExpectFailure(test, store.Append(std::vector<LogEntry>{{3, 1, 0, "c"}}));
    ExpectFailure(test, store.TruncateFrom(1));
    ExpectFailure(test, store.TrimTo({1, 1}));
    ExpectFailure(test, store.Read(1));
  }
}

// Guards against writing records to the old file after a failed compaction.
Test(store_fault, claim_log_reports_a_failed_compaction_on_every_later_call) {
  for (const auto& test : replace_faults) {
    FakeDisk disk(1);
    auto log = ClaimLog::Create(disk.Ops(), "d/store").value();
    const auto offset = log.Append("claim").value();
    cr_assert(!log.Sync().has_error());
    disk.Inject(test.fault, 1);
    int moves = 0;
    const auto all = [](auto, auto) { return true; };
    const auto compacted = log.Compact(all, [&](auto, auto) { ++moves; });
    cr_assert_eq(moves, test.reason == nullptr ? 1 : 0, "%s", test.name);
    if (test.reason == nullptr) continue;
    ExpectFailure(test, compacted);
    ExpectFailure(test, log.Append("another"));
    ExpectFailure(test, log.Sync());
    ExpectFailure(test, log.Read(offset));
  }
}

// Guards against returning a snapshot after a failed save, when it is unknown which one is stored.
Test(store_fault, snapshot_store_reports_a_failure_on_every_later_call) {
  for (const auto& test : replace_faults) {
    FakeDisk disk(1);
    SnapshotStore store(disk.Ops(), "d/store");
    cr_assert(!store.Save({{1, 1}, "members", "state"}).has_error());
    disk.Inject(test.fault, 1);
    const auto saved = store.Save({{2, 1}, "members", "newer state"});
    if (test.reason == nullptr) {
      cr_assert(!saved.has_error(), "%s", test.name);
      continue;
    }
    ExpectFailure(test, saved);
    ExpectFailure(test, store.Load());
    ExpectFailure(test, store.Save({{3, 1}, "members", "state"}));
  }
}
