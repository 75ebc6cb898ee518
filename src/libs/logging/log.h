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
  /// Path of the file; "-" is standard error, "stdout" is standard output.
  std::string file = "-";
  /// Lines are written by a thread of their own, and dropped and counted while it lags: a reader
  /// that stops reading the output never blocks the caller.
  bool in_background = false;
};

/// Sets up logging for the process; call once before the first line. Fails with `kIo` when the file
/// can't be opened.
base::Result<void> Start(const Options& options);

/// Writes one JSON line with `event`, `message` and `fields`. Thread-safe; does nothing before
/// `Start`.
void Write(Level level, const std::string& event, const std::string& message,
           const std::vector<Field>& fields = {});

/// Writes what is queued and ends the background thread, if there is one. Waits for a short time
/// only: when the output is blocked, the process then ends without destructors of static objects.
void Stop();

}  // namespace wagtailpick::logging
