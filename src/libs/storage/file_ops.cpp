#include "storage/file_ops.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace wagtailpick::storage {
namespace {

using base::ErrorCode;
using base::Fail;
using base::Ok;
using base::Result;

constexpr mode_t kFileMode = 0600;
constexpr mode_t kFolderMode = 0700;

auto FailWithErrno(ErrorCode code = ErrorCode::kIo) {
  return Fail(code, std::generic_category().message(errno));
}

Result<void> FromStatus(int status) {
  if (status != 0) return FailWithErrno();
  return Ok();
}

Result<int> Open(const std::string& path, OpenMode mode) {
  int flags = O_RDWR | O_CLOEXEC;
  if (mode == OpenMode::kCreate) flags |= O_CREAT;
  if (mode == OpenMode::kReplace) flags |= O_CREAT | O_TRUNC;
  const int file = open(path.c_str(), flags, kFileMode);
  if (file < 0) return FailWithErrno(errno == ENOENT ? ErrorCode::kNotFound : ErrorCode::kIo);
  return file;
}

Result<std::size_t> Write(int file, std::uint64_t offset, std::string_view bytes) {
  const ssize_t written = pwrite(file, bytes.data(), bytes.size(), static_cast<off_t>(offset));
  if (written < 0 && errno == EINTR) return std::size_t{0};
  if (written < 0) return FailWithErrno();
  return static_cast<std::size_t>(written);
}

Result<std::string> Read(int file, std::uint64_t offset, std::size_t size) {
  std::string bytes(size, '\0');
  std::size_t done = 0;
  while (done < size) {
    const ssize_t count =
        pread(file, bytes.data() + done, size - done, static_cast<off_t>(offset + done));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return FailWithErrno();
    if (count == 0) break;
    done += static_cast<std::size_t>(count);
  }
  bytes.resize(done);
  return bytes;
}

Result<std::uint64_t> Size(int file) {
  struct stat status {};
  if (fstat(file, &status) != 0) return FailWithErrno();
  return static_cast<std::uint64_t>(status.st_size);
}

Result<void> Lock(int file) {
  if (flock(file, LOCK_EX | LOCK_NB) == 0) return Ok();
  return FailWithErrno(errno == EWOULDBLOCK ? ErrorCode::kConflict : ErrorCode::kIo);
}

Result<bool> Exists(const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) == 0) return true;
  if (errno == ENOENT) return false;
  return FailWithErrno();
}

Result<void> MakeFolder(const std::string& path) {
  if (mkdir(path.c_str(), kFolderMode) == 0 || errno == EEXIST) return Ok();
  return FailWithErrno();
}

Result<void> SyncFolder(const std::string& path) {
  const int folder = open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) return FailWithErrno();
  auto synced = FromStatus(fsync(folder));
  close(folder);
  return synced;
}

}  // namespace

FileOpsPtr PosixFileOps() {
  auto ops = std::make_shared<FileOps>();
  ops->open = Open;
  ops->write = Write;
  ops->read = Read;
  ops->size = Size;
  ops->sync = [](int file) { return FromStatus(fsync(file)); };
  ops->truncate = [](int file, std::uint64_t size) {
    return FromStatus(ftruncate(file, static_cast<off_t>(size)));
  };
  ops->lock = Lock;
  ops->close = [](int file) { close(file); };
  ops->rename = [](const std::string& from, const std::string& to) {
    return FromStatus(rename(from.c_str(), to.c_str()));
  };
  ops->exists = Exists;
  ops->make_folder = MakeFolder;
  ops->sync_folder = SyncFolder;
  return ops;
}

}  // namespace wagtailpick::storage
