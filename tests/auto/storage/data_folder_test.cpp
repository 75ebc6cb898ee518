#include "storage/data_folder.h"

#include <criterion/criterion.h>
#include <stdlib.h>

#include <filesystem>

#include "fake_disk.h"
#include "storage/log_store.h"

using wagtailpick::base::ErrorCode;
using wagtailpick::base::Result;
using wagtailpick::storage::DataFolder;
using wagtailpick::storage::FakeDisk;
using wagtailpick::storage::Fault;
using wagtailpick::storage::FileOpsPtr;
using wagtailpick::storage::FolderState;
using wagtailpick::storage::LogStore;
using wagtailpick::storage::PosixFileOps;

namespace {

// A folder on the real file system that is removed on destruction.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "storage-XXXXXX").string();
    path_ = mkdtemp(name.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  std::string data() const { return path_ + "/data"; }

 private:
  std::string path_;
};

Result<void> SetUp(const FileOpsPtr& ops, const std::string& path) {
  BOOST_OUTCOME_TRY(folder, DataFolder::Open(ops, path, "replica-1"));
  BOOST_OUTCOME_TRY(folder.BeginSetUp(3));
  BOOST_OUTCOME_TRY(LogStore::Create(ops, folder.log_path()));
  return folder.FinishSetUp();
}

}  // namespace

// Guards against two processes writing to the same folder.
Test(data_folder, is_locked_while_it_is_open) {
  const TemporaryFolder temporary;
  const auto ops = PosixFileOps();
  {
    const auto first = DataFolder::Open(ops, temporary.data(), "replica-1");
    cr_assert(!first.has_error());
    const auto second = DataFolder::Open(ops, temporary.data(), "replica-1");
    cr_assert(second.has_error() && second.error().code == ErrorCode::kConflict);
  }
  cr_assert(!DataFolder::Open(ops, temporary.data(), "replica-1").has_error());
}

// Guards against using a wiped folder as if it still held the replica's votes, and against using
// the folder of another replica.
Test(data_folder, marker_distinguishes_ready_wiped_and_foreign_folders) {
  const TemporaryFolder temporary;
  const auto ops = PosixFileOps();
  cr_assert(!SetUp(ops, temporary.data()).has_error());
  {
    const auto ready = DataFolder::Open(ops, temporary.data(), "replica-1").value();
    cr_assert(ready.state() == FolderState::kReady);
    cr_assert_eq(ready.incarnation(), 3U);
  }
  const auto foreign = DataFolder::Open(ops, temporary.data(), "replica-2");
  cr_assert(foreign.has_error() && foreign.error().code == ErrorCode::kInvalidArgument);
  std::filesystem::remove(temporary.data() + "/replica");
  const auto unmarked = DataFolder::Open(ops, temporary.data(), "replica-1");
  cr_assert(unmarked.has_error() && unmarked.error().code == ErrorCode::kCorrupt);
  std::filesystem::remove_all(temporary.data());
  const auto wiped = DataFolder::Open(ops, temporary.data(), "replica-1").value();
  cr_assert(wiped.state() == FolderState::kNew);
}

// Guards against an interrupted set-up that leaves a folder that cannot be opened, or one that
// counts as ready without its stores.
Test(data_folder, set_up_can_be_repeated_after_a_crash_at_every_operation) {
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    bool crashed = true;
    for (int at = 1; crashed; ++at) {
      FakeDisk disk(seed * 100 + static_cast<std::uint64_t>(at));
      disk.Inject(Fault::kCrash, at);
      const bool done = !SetUp(disk.Ops(), "d").has_error();
      crashed = disk.crashed();
      disk.Restart();
      auto folder = DataFolder::Open(disk.Ops(), "d", "replica-1");
      cr_assert(!folder.has_error(), "crash at %d", at);
      const bool ready = folder.value().state() == FolderState::kReady;
      cr_assert(ready || !done, "crash at %d", at);
      if (ready) cr_assert(!LogStore::Open(disk.Ops(), "d/log").has_error(), "crash at %d", at);
      if (!ready) cr_assert(!SetUp(disk.Ops(), "d").has_error(), "crash at %d", at);
    }
  }
}

// Guards against a store that works only on the simulated disk.
Test(data_folder, log_store_reads_back_what_it_wrote_to_a_real_disk) {
  const TemporaryFolder temporary;
  const auto ops = PosixFileOps();
  cr_assert(!SetUp(ops, temporary.data()).has_error());
  const std::vector<wagtailpick::storage::LogEntry> entries{{1, 1, 7, std::string(3 << 20, 'x')}};
  {
    auto store = LogStore::Open(ops, temporary.data() + "/log").value();
    cr_assert(!store.Append(entries).has_error());
    cr_assert(!store.SetHardState({1, "replica-2", 3}).has_error());
    cr_assert(!store.Sync().has_error());
  }
  auto store = LogStore::Open(ops, temporary.data() + "/log").value();
  cr_assert(store.ReadAll().value() == entries);
  cr_assert_str_eq(store.hard_state().voted_for.c_str(), "replica-2");
}
