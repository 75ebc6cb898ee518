#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "storage/file_ops.h"

namespace wagtailpick::storage {

/// The fault injected at the chosen operation.
enum class Fault {
  kNone,
  /// The machine stops; all operations fail until `Restart`.
  kCrash,
  kFailedWrite,
  kShortWrite,
  /// Half of the bytes are written, then the write fails because the disk is full.
  kFullDisk,
  kFailedSync,
  kFailedRename,
  kFailedFolderSync,
};

/// A disk in memory that tracks what is durable: file content after a sync of the file, names after
/// a sync of the folder. `Restart` keeps a random part of the rest, as after a machine crash.
class FakeDisk {
 public:
  explicit FakeDisk(std::uint64_t seed) : random_(seed) {}

  FileOpsPtr Ops();

  /// Makes operation number `at`, counted from 1, fail. Faults other than a crash hit the first
  /// operation of their type from there on.
  void Inject(Fault fault, int at);

  /// Disables syncs of files or folders, to check that the tests detect it.
  void IgnoreSyncs(bool files, bool folders);

  /// Restarts the machine: all files are closed and unsynced changes survive at random.
  void Restart();

  int operations() const { return operations_; }
  bool crashed() const { return crashed_; }

  /// Current content of a file, for tests to damage.
  std::string& ContentOf(const std::string& path) { return names_.at(path)->current; }

 private:
  struct Node {
    std::string durable;
    std::string current;
  };
  using NodePtr = std::shared_ptr<Node>;
  using Names = std::map<std::string, NodePtr>;

  // Whether `fault` is due now; if so, it is disarmed.
  bool ConsumeFault(Fault fault);
  base::Result<void> CountOperation(Fault fault);
  base::Result<int> Open(const std::string& path, OpenMode mode);
  base::Result<std::size_t> Write(int file, std::uint64_t offset, std::string_view bytes);
  base::Result<void> Sync(int file);
  base::Result<void> Truncate(int file, std::uint64_t size);
  base::Result<void> Rename(const std::string& from, const std::string& to);
  base::Result<void> SyncFolder();
  void AddReaders(FileOps& ops);
  std::string SurvivingContent(const Node& node);

  std::mt19937_64 random_;
  Fault fault_ = Fault::kNone;
  int fault_at_ = 0;
  int operations_ = 0;
  bool crashed_ = false;
  bool sync_files_ = true;
  bool sync_folders_ = true;
  Names names_;
  // Names as of the last folder sync, and after each change since then.
  std::vector<Names> names_history_ = {{}};
  std::vector<NodePtr> handles_;
};

}  // namespace wagtailpick::storage
