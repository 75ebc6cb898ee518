#pragma once

#include <string>
#include <vector>

#include "base/result.h"

namespace wagtailpick::logging {

/// Importance of a log line.
enum class Level { kDebug, kInfo, kWarning, kError };

/// An extra field of a log line.
struct Field {
  std::string name;
  std::string value;
};

/// What every line of a process carries and where lines go.
struct Options {
  std::string vm;
  std::string place;
  /// Path of the file; "-" is standard error.
  std::string file = "-";
};

/// Sets up logging for the process; call once before the first line. Fails with `kIo` when the file
/// can't be opened.
base::Result<void> Start(const Options& options);

/// Writes one JSON line with `event`, `message` and `fields`. Thread-safe; does nothing before
/// `Start`.
void Write(Level level, const std::string& event, const std::string& message,
           const std::vector<Field>& fields = {});

}  // namespace wagtailpick::logging
