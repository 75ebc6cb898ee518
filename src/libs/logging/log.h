#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "base/result.h"

namespace wagtailpick::logging {

/// Severity of a log line. `kDebug` lines are not written.
enum class Level { kDebug, kInfo, kWarning, kError };

/// An extra field of a log line.
struct Field {
  std::string name;
  std::string value;
};

/// Fields of every log line of a process, and the output.
struct Options {
  /// Name of the VM, written as the field `vm`.
  std::string vm;
  /// Data centre of the VM, written as the field `place`.
  std::string place;
  /// Path of the file that lines are appended to; "-" is standard error, "stdout" is standard
  /// output.
  std::string file = "-";
  /// Writes lines on a background thread, so that a blocked output does not block callers of
  /// `Write`. Lines are dropped and counted if the thread falls behind.
  bool in_background = false;
};

/// Sets up logging for the process; call it once before the first line. Ignores the signals of
/// failed writes (SIGPIPE, SIGXFSZ) from then on. Fails with `kIo` if the file cannot be opened.
base::Result<void> Start(const Options& options);

/// Writes one JSON line with `event`, `message` and `fields`. Bytes of the message and of field
/// values that are not printable UTF-8 are escaped; a message
/// longer than 4,096 bytes and a value longer than 1,024 bytes are cut. Thread-safe; does nothing
/// before `Start`.
void Write(Level level, const std::string& event, const std::string& message,
           const std::vector<Field>& fields = {});

/// Longest wait of `Stop`, so that a blocked output does not delay the end of the process.
inline constexpr base::Duration kStopTimeout = std::chrono::milliseconds(100);

/// Writes the queued lines and ends the background thread, if there is one; lines that follow are
/// dropped then. Waits up to `kStopTimeout`; if the output is still blocked then, the process will
/// exit without destroying static objects. Thread-safe.
void Stop();

}  // namespace wagtailpick::logging
