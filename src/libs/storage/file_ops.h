#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/result.h"

namespace wagtailpick::storage {

/// What `FileOps::open` does with a file that exists or is missing.
enum class OpenMode {
  /// Opens a file for reading and writing; fails with `kNotFound` when it is missing.
  kExisting,
  /// Opens a file, creating it empty when it is missing.
  kCreate,
  /// Opens a file and empties it, creating it when it is missing.
  kReplace,
};

/// The file operations that the stores use. Tests replace them to inject faults. Every failure has
/// code `kIo` unless stated otherwise, with the operating system's error text as its message.
struct FileOps {
  std::function<base::Result<int>(const std::string& path, OpenMode mode)> open;
  /// Writes at `offset` and returns the number of bytes written, which can be fewer than asked for.
  std::function<base::Result<std::size_t>(int file, std::uint64_t offset, std::string_view bytes)>
      write;
  /// Reads up to `size` bytes at `offset`; returns fewer only at the end of the file.
  std::function<base::Result<std::string>(int file, std::uint64_t offset, std::size_t size)> read;
  std::function<base::Result<std::uint64_t>(int file)> size;
  /// Makes the file's content durable.
  std::function<base::Result<void>(int file)> sync;
  std::function<base::Result<void>(int file, std::uint64_t size)> truncate;
  /// Acquires an exclusive lock that lasts until the file is closed; fails with `kConflict` when
  /// another process holds it.
  std::function<base::Result<void>(int file)> lock;
  std::function<void(int file)> close;
  std::function<base::Result<void>(const std::string& from, const std::string& to)> rename;
  std::function<base::Result<bool>(const std::string& path)> exists;
  /// Creates a folder; succeeds when it already exists.
  std::function<base::Result<void>(const std::string& path)> make_folder;
  /// Makes the creations and renames in a folder durable.
  std::function<base::Result<void>(const std::string& path)> sync_folder;
};

using FileOpsPtr = std::shared_ptr<const FileOps>;

/// Returns the POSIX file operations.
FileOpsPtr PosixFileOps();

}  // namespace wagtailpick::storage
