#include "settings/file_age.h"

#include <chrono>
#include <filesystem>

namespace wagtailpick::settings {

bool MayBeIncomplete(const std::string& path) {
  std::error_code error;
  const auto modified = std::filesystem::last_write_time(path, error);
  if (error) return true;
  const auto age = std::filesystem::file_time_type::clock::now() - modified;
  // A time in the future is that of a file written before the clock was set back.
  return age >= age.zero() && age < kReplacementTime;
}

}  // namespace wagtailpick::settings
