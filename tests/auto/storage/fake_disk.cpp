#include "fake_disk.h"

#include <algorithm>

namespace wagtailpick::storage {

using base::ErrorCode;
using base::Fail;
using base::Ok;
using base::Result;

FileOpsPtr FakeDisk::Ops() {
  auto ops = std::make_shared<FileOps>();
  ops->open = [this](const auto& path, OpenMode mode) { return Open(path, mode); };
  ops->write = [this](int file, auto offset, auto bytes) { return Write(file, offset, bytes); };
  ops->sync = [this](int file) { return Sync(file); };
  ops->truncate = [this](int file, auto size) { return Truncate(file, size); };
  ops->rename = [this](const auto& from, const auto& to) { return Rename(from, to); };
  ops->sync_folder = [this](const auto&) { return SyncFolder(); };
  ops->make_folder = [](const auto&) -> Result<void> { return Ok(); };
  ops->lock = [](int) -> Result<void> { return Ok(); };
  ops->close = [](int) {};
  AddReaders(*ops);
  return ops;
}

void FakeDisk::AddReaders(FileOps& ops) {
  ops.read = [this](int file, auto offset, auto size) -> Result<std::string> {
    if (crashed_) return Fail(ErrorCode::kIo, "crashed");
    const std::string& content = handles_[static_cast<std::size_t>(file)]->current;
    return offset >= content.size() ? std::string() : content.substr(offset, size);
  };
  ops.size = [this](int file) -> Result<std::uint64_t> {
    return handles_[static_cast<std::size_t>(file)]->current.size();
  };
  ops.exists = [this](const auto& path) -> Result<bool> { return names_.contains(path); };
}

void FakeDisk::Inject(Fault fault, int at) {
  fault_ = fault;
  fault_at_ = at;
  operations_ = 0;
}

void FakeDisk::IgnoreSyncs(bool files, bool folders) {
  sync_files_ = !files;
  sync_folders_ = !folders;
}

bool FakeDisk::ConsumeFault(Fault fault) {
  if (fault == Fault::kNone || fault_ != fault || operations_ < fault_at_) return false;
  fault_ = Fault::kNone;
  crashed_ = fault == Fault::kCrash;
  return true;
}

// Counts one operation. Fails after a crash, or when a crash or `fault` is due at this operation.
Result<void> FakeDisk::CountOperation(Fault fault) {
  if (crashed_) return Fail(ErrorCode::kIo, "crashed");
  ++operations_;
  if (ConsumeFault(Fault::kCrash)) return Fail(ErrorCode::kIo, "crashed");
  if (ConsumeFault(fault)) return Fail(ErrorCode::kIo, "injected failure");
  return Ok();
}

Result<int> FakeDisk::Open(const std::string& path, OpenMode mode) {
  BOOST_OUTCOME_TRY(CountOperation(Fault::kNone));
  if (mode == OpenMode::kExisting && !names_.contains(path)) {
    return Fail(ErrorCode::kNotFound, "no such file");
  }
  if (!names_.contains(path)) {
    names_[path] = std::make_shared<Node>();
    names_history_.push_back(names_);
  }
  if (mode == OpenMode::kReplace) names_[path]->current.clear();
  handles_.push_back(names_[path]);
  return static_cast<int>(handles_.size() - 1);
}

Result<std::size_t> FakeDisk::Write(int file, std::uint64_t offset, std::string_view bytes) {
  const auto stepped = CountOperation(Fault::kFailedWrite);
  const bool crashed_here = stepped.has_error() && crashed_;
  if (stepped.has_error() && !crashed_here) return stepped.error();
  const bool full = ConsumeFault(Fault::kFullDisk);
  if (full || crashed_here || ConsumeFault(Fault::kShortWrite)) {
    bytes = bytes.substr(0, bytes.size() / 2);
  }
  std::string& content = handles_[static_cast<std::size_t>(file)]->current;
  if (content.size() < offset + bytes.size()) content.resize(offset + bytes.size());
  std::copy(bytes.begin(), bytes.end(), content.begin() + static_cast<std::ptrdiff_t>(offset));
  if (crashed_here) return stepped.error();
  if (full) return Fail(ErrorCode::kIo, "no space left on device");
  return bytes.size();
}

Result<void> FakeDisk::Sync(int file) {
  BOOST_OUTCOME_TRY(CountOperation(Fault::kFailedSync));
  Node& node = *handles_[static_cast<std::size_t>(file)];
  if (sync_files_) node.durable = node.current;
  return Ok();
}

Result<void> FakeDisk::Truncate(int file, std::uint64_t size) {
  BOOST_OUTCOME_TRY(CountOperation(Fault::kNone));
  handles_[static_cast<std::size_t>(file)]->current.resize(size);
  return Ok();
}

Result<void> FakeDisk::Rename(const std::string& from, const std::string& to) {
  BOOST_OUTCOME_TRY(CountOperation(Fault::kFailedRename));
  names_[to] = names_.at(from);
  names_.erase(from);
  names_history_.push_back(names_);
  return Ok();
}

Result<void> FakeDisk::SyncFolder() {
  BOOST_OUTCOME_TRY(CountOperation(Fault::kFailedFolderSync));
  if (sync_folders_) names_history_ = {names_};
  return Ok();
}

// Returns the durable bytes and a random part of the later ones, whose end may read as zeros. If
// the content does not extend the durable bytes, returns one or the other.
std::string FakeDisk::SurvivingContent(const Node& node) {
  if (!node.current.starts_with(node.durable)) {
    return random_() % 2 == 0 ? node.durable : node.current;
  }
  const std::size_t unsynced = node.current.size() - node.durable.size();
  const std::size_t kept = random_() % (unsynced + 1);
  std::string content = node.current.substr(0, node.durable.size() + kept);
  if (random_() % 2 == 0) content.resize(content.size() + random_() % (unsynced - kept + 1), '\0');
  return content;
}

void FakeDisk::Restart() {
  crashed_ = false;
  fault_ = Fault::kNone;
  handles_.clear();
  names_ = names_history_[random_() % names_history_.size()];
  names_history_ = {names_};
  for (auto& [path, node] : names_) {
    node->current = SurvivingContent(*node);
    node->durable = node->current;
  }
}

}  // namespace wagtailpick::storage
