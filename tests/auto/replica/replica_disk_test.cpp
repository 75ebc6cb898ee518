#include "replica/replica_disk.h"

#include <criterion/criterion.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

#include "storage/log_store.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using base::ErrorCode;

constexpr const char* kSelf = "a:1";
constexpr std::uint64_t kTerm = 7;

/// The data folder of a replica in a new group; removed on destruction.
class Folder {
 public:
  Folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "wagtailpick-XXXXXX").string();
    cr_assert(mkdtemp(pattern.data()) != nullptr);
    root_ = pattern;
    cr_assert(replica::ReplicaDisk::InitGroup(path(), kSelf, {kSelf, "b:1", "c:1"}).has_value());
  }
  ~Folder() { std::filesystem::remove_all(root_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  std::string path() const { return root_ + "/data"; }
  std::string log_path() const { return path() + "/log"; }

  /// Stores a vote under a valid checksum, as a faulty or foreign program leaves it.
  void StoreVote(const std::string& vote) const {
    auto log = storage::LogStore::Open(storage::PosixFileOps(), log_path());
    cr_assert(log.has_value());
    cr_assert(log.value().SetHardState({kTerm, vote, 1}).has_value());
    cr_assert(log.value().Sync().has_value());
  }

 private:
  std::string root_;
};

}  // namespace

// Guards against a vote that can't be read and counts as "has not voted", or as another vote: the
// replica could vote twice in one term. An exception would end the process without a clear error.
Test(replica_disk, refuses_a_vote_that_it_cannot_read) {
  const std::array<std::string, 9> votes{
      "b:1",     "b:1\n",    "b:1\nx",
      "b:1\n-1", "b:1\n 5x", "b:1\n5x",
      "b:1\n+5", "\n5",      "b:1\n18446744073709551616",
  };
  for (const auto& vote : votes) {
    const Folder folder;
    folder.StoreVote(vote);
    std::string failure = "read";
    try {
      const auto disk = replica::ReplicaDisk::Open(folder.path(), kSelf, 1);
      if (!disk) {
        failure = disk.error().message;
        cr_expect(disk.error().code == ErrorCode::kCorrupt);
      }
    } catch (const std::exception& error) {
      failure = std::string("exception ") + error.what();
    }
    cr_expect(failure.starts_with(folder.log_path() + ": the vote"), "%s: %s", vote.c_str(),
              failure.c_str());
    cr_expect(
        failure.find("a replica's name, a line feed and its incarnation") != std::string::npos,
        "%s: %s", vote.c_str(), failure.c_str());
  }
}

// Guards against a stored vote that a restart reads differently; a name with a line feed, which
// another process can send, must not make the folder unreadable.
Test(replica_disk, reads_the_vote_that_it_wrote) {
  const std::array<consensus::ReplicaKey, 5> votes{
      {{"", 0}, {"b:1", 1}, {"b:1", 0}, {"b\n1", 3}, {"b:1", 18446744073709551615U}}};
  for (const auto& vote : votes) {
    const Folder folder;
    {
      auto disk = replica::ReplicaDisk::Open(folder.path(), kSelf, 1);
      cr_assert(disk.has_value());
      consensus::SyncBatch batch;
      batch.hard_state = consensus::HardState{kTerm, vote};
      cr_assert(disk.value().Write(batch).has_value());
    }
    auto disk = replica::ReplicaDisk::Open(folder.path(), kSelf, 1);
    cr_assert(disk.has_value(), "vote for %s", vote.name.c_str());
    const auto state = disk.value().ConsumeRecoveredState().hard_state;
    cr_expect(state.term == kTerm && state.voted_for == vote, "vote for %s", vote.name.c_str());
  }
}

// Guards against an entry of an unknown kind, whose number was cut to eight bits or which is
// skipped when it is applied: the replica would go on without it.
Test(replica_disk, refuses_an_entry_of_an_unknown_kind) {
  for (const std::uint32_t kind : {3U, 257U}) {
    const Folder folder;
    {
      auto log = storage::LogStore::Open(storage::PosixFileOps(), folder.log_path());
      const std::vector<storage::LogEntry> entries{{1, 1, kind, "data"}};
      cr_assert(log.has_value() && log.value().Append(entries) && log.value().Sync());
    }
    const auto disk = replica::ReplicaDisk::Open(folder.path(), kSelf, 1);
    cr_expect(!disk && disk.error().code == ErrorCode::kCorrupt, "kind %u", kind);
  }
}
