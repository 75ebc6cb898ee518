#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"
#include "storage/file_ops.h"

namespace wagtailpick::storage {

/// Returns the folder that holds `path`.
std::string FolderOf(const std::string& path);

/// Creates the folder `path` when it is missing and makes its name durable.
base::Result<void> MakeFolder(const FileOps& ops, const std::string& path);

/// Whether there is a file at `path`.
base::Result<bool> Exists(const FileOps& ops, const std::string& path);

/// Returns where the replacement of the file at `path` is written before it is renamed.
std::string TemporaryPath(const std::string& path);

/// Frees the space of a replacement of `path` that an earlier process didn't finish.
base::Result<void> EmptyTemporary(FileOpsPtr ops, const std::string& path);

/// An open file, closed on destruction. Errors name the operation and the path.
class File {
 public:
  static base::Result<File> Open(FileOpsPtr ops, std::string path, OpenMode mode);
  ~File();
  File(File&& other) noexcept;
  File& operator=(File&& other) noexcept;
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  /// Writes all of `bytes` at `offset`, continuing after short writes.
  base::Result<void> WriteAll(std::uint64_t offset, std::string_view bytes);

  /// Reads up to `size` bytes at `offset`; returns fewer only at the end of the file.
  base::Result<std::string> Read(std::uint64_t offset, std::size_t size) const;

  base::Result<std::uint64_t> Size() const;
  base::Result<void> Sync();
  base::Result<void> Truncate(std::uint64_t size);
  base::Result<void> Lock();

  /// Renames the file over whatever is at `path` and makes that durable.
  base::Result<void> RenameTo(std::string path);

  /// Makes the creation or removal of names in the file's folder durable.
  base::Result<void> SyncFolder();

  const std::string& path() const { return path_; }

 private:
  File(FileOpsPtr ops, std::string path, int handle);

  FileOpsPtr ops_;
  std::string path_;
  int handle_ = -1;
};

}  // namespace wagtailpick::storage
