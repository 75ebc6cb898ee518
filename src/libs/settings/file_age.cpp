#include "settings/file_age.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <optional>

namespace wagtailpick::settings {
namespace {

using FileTime = std::filesystem::file_time_type;

/// Differs after a modification, unless it comes within the resolution of file times, a few
/// milliseconds, after another one.
struct FileState {
  FileTime modified;
  std::uintmax_t size = 0;

  friend bool operator==(const FileState&, const FileState&) = default;
};

std::optional<FileState> StateOf(const std::string& path) {
  std::error_code error;
  const auto modified = std::filesystem::last_write_time(path, error);
  if (error) return std::nullopt;
  const auto size = std::filesystem::file_size(path, error);
  if (error) return std::nullopt;
  return FileState{modified, size};
}

bool IsYounger(FileTime modified, base::Duration age_limit) {
  const auto age = FileTime::clock::now() - modified;
  // A time in the future is that of a file written before the clock was set back.
  return age >= age.zero() && age < age_limit;
}

bool EndsWithNewline(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  file.seekg(-1, std::ios::end);
  return file.get() == '\n';
}

}  // namespace

bool MayBeIncomplete(const std::string& path) {
  const auto state = StateOf(path);
  return !state || IsYounger(state->modified, kReplacementTime);
}

bool ReadsComplete(const std::string& path, const std::function<void()>& read) {
  const auto before = StateOf(path);
  const bool is_complete =
      before &&
      !IsYounger(before->modified, EndsWithNewline(path) ? kSettleTime : kReplacementTime);
  read();
  return is_complete && StateOf(path) == before;
}

}  // namespace wagtailpick::settings
