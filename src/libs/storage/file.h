#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"
#include "storage/file_ops.h"

namespace wagtailpick::storage {

/// Returns the folder that contains `path`.
std::string FolderOf(const std::string& path);

/// Creates the folder `path` when it is missing and makes its directory entry durable.
base::Result<void> MakeFolder(const FileOps& ops, const std::string& path);

/// Whether a file exists at `path`.
base::Result<bool> Exists(const FileOps& ops, const std::string& path);

/// Returns the path at which a replacement for the file at `path` is written before the rename.
std::string TemporaryPath(const std::string& path);

/// Truncates a replacement for `path` that an earlier process left unfinished, to free its space.
base::Result<void> TruncateTemporary(FileOpsPtr ops, const std::string& path);

/// An open file, closed on destruction. Errors have the codes of `FileOps`; their messages name the
/// operation and the path.
class File {
 public:
  static base::Result<File> Open(FileOpsPtr ops, std::string path, OpenMode mode);
  ~File();
  File(File&& other) noexcept;
  File& operator=(File&& other) noexcept;
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  /// Writes all of `bytes` at `offset`, continuing after short writes. Fails with `kIo` when
  /// repeated writes make no progress.
  base::Result<void> WriteAll(std::uint64_t offset, std::string_view bytes);

  /// Reads up to `size` bytes at `offset`; returns fewer only at the end of the file.
  base::Result<std::string> Read(std::uint64_t offset, std::size_t size) const;

  /// Returns the size in bytes.
  base::Result<std::uint64_t> Size() const;
  /// Makes the content durable.
  base::Result<void> Sync();
  base::Result<void> Truncate(std::uint64_t size);
  /// Locks the file until it is closed; fails with `kConflict` when another process holds the lock.
  base::Result<void> Lock();

  /// Renames the file to `path`, replacing any file there, and makes the rename durable.
  base::Result<void> RenameTo(std::string path);

  /// Makes creations and renames in the file's folder durable.
  base::Result<void> SyncFolder();

  const std::string& path() const { return path_; }

 private:
  File(FileOpsPtr ops, std::string path, int handle);

  FileOpsPtr ops_;
  std::string path_;
  int handle_ = -1;
};

}  // namespace wagtailpick::storage
