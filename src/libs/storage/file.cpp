#include "storage/file.h"

#include <utility>

namespace wagtailpick::storage {
namespace {

using base::Error;
using base::ErrorCode;
using base::Fail;
using base::Ok;
using base::Result;

// After so many consecutive writes of 0 bytes the write is reported as failed, as it would
// otherwise be repeated forever.
constexpr int kMaxEmptyWrites = 8;

auto Explain(const char* operation, const std::string& path, const Error& error) {
  return Fail(error.code, std::string(operation) + " of " + path + " failed: " + error.message);
}

template <typename T>
Result<T> WithPath(const char* operation, const std::string& path, Result<T> result) {
  if (result.has_error()) return Explain(operation, path, result.error());
  return result;
}

Result<void> SyncFolderAt(const FileOps& ops, const std::string& folder) {
  return WithPath("sync", folder, ops.sync_folder(folder));
}

}  // namespace

std::string FolderOf(const std::string& path) {
  const auto slash = path.rfind('/');
  if (slash == std::string::npos) return ".";
  return slash == 0 ? "/" : path.substr(0, slash);
}

Result<void> MakeFolder(const FileOps& ops, const std::string& path) {
  BOOST_OUTCOME_TRY(WithPath("creation", path, ops.make_folder(path)));
  return SyncFolderAt(ops, FolderOf(path));
}

Result<bool> Exists(const FileOps& ops, const std::string& path) {
  return WithPath("stat", path, ops.exists(path));
}

std::string TemporaryPath(const std::string& path) { return path + ".tmp"; }

Result<void> TruncateTemporary(FileOpsPtr ops, const std::string& path) {
  const std::string temporary = TemporaryPath(path);
  BOOST_OUTCOME_TRY(exists, Exists(*ops, temporary));
  if (!exists) return Ok();
  BOOST_OUTCOME_TRY(File::Open(std::move(ops), temporary, OpenMode::kReplace));
  return Ok();
}

File::File(FileOpsPtr ops, std::string path, int handle)
    : ops_(std::move(ops)), path_(std::move(path)), handle_(handle) {}

File::~File() {
  if (handle_ >= 0) ops_->close(handle_);
}

File::File(File&& other) noexcept
    : ops_(std::move(other.ops_)),
      path_(std::move(other.path_)),
      handle_(std::exchange(other.handle_, -1)) {}

File& File::operator=(File&& other) noexcept {
  std::swap(ops_, other.ops_);
  std::swap(path_, other.path_);
  std::swap(handle_, other.handle_);
  return *this;
}

Result<File> File::Open(FileOpsPtr ops, std::string path, OpenMode mode) {
  const auto handle = ops->open(path, mode);
  if (handle.has_error()) return Explain("open", path, handle.error());
  return File(std::move(ops), std::move(path), handle.value());
}

Result<void> File::WriteAll(std::uint64_t offset, std::string_view bytes) {
  int empty_writes = 0;
  while (!bytes.empty()) {
    const auto written = ops_->write(handle_, offset, bytes);
    if (written.has_error()) return Explain("write", path_, written.error());
    empty_writes = written.value() == 0 ? empty_writes + 1 : 0;
    if (empty_writes == kMaxEmptyWrites) {
      return Fail(ErrorCode::kIo, "write of " + path_ + " failed: no progress");
    }
    offset += written.value();
    bytes.remove_prefix(written.value());
  }
  return Ok();
}

Result<std::string> File::Read(std::uint64_t offset, std::size_t size) const {
  return WithPath("read", path_, ops_->read(handle_, offset, size));
}

Result<std::uint64_t> File::Size() const { return WithPath("stat", path_, ops_->size(handle_)); }

Result<void> File::Sync() { return WithPath("sync", path_, ops_->sync(handle_)); }

Result<void> File::Truncate(std::uint64_t size) {
  return WithPath("truncate", path_, ops_->truncate(handle_, size));
}

Result<void> File::Lock() { return WithPath("lock", path_, ops_->lock(handle_)); }

Result<void> File::RenameTo(std::string path) {
  BOOST_OUTCOME_TRY(WithPath("rename", path_, ops_->rename(path_, path)));
  path_ = std::move(path);
  return SyncFolder();
}

Result<void> File::SyncFolder() { return SyncFolderAt(*ops_, FolderOf(path_)); }

}  // namespace wagtailpick::storage
