#pragma once

#include <functional>
#include <string>

#include "base/monotonic_time.h"

namespace wagtailpick::settings {

/// A settings file that is being replaced is complete again within this time.
constexpr base::Duration kReplacementTime = std::chrono::seconds(2);
/// Time without a modification after which a settings file that ends with a newline is complete. A
/// file may be cut after a line and still be valid; a start right after the write waits this long.
constexpr base::Duration kSettleTime = std::chrono::milliseconds(50);
/// Time after which a reader gives up. A file that is created within `kReplacementTime`, without a
/// newline at its end, is complete as long again after that.
constexpr base::Duration kMaxReadTime = 2 * kReplacementTime;
/// Time between two attempts to read a settings file that may be incomplete.
constexpr base::Duration kReadRetryInterval = std::chrono::milliseconds(10);

/// Whether the file `path` may be incomplete: it is missing, or was modified less than
/// `kReplacementTime` ago.
bool MayBeIncomplete(const std::string& path);

/// Calls `read`, which reads the file `path`. Returns whether the file was complete all the time:
/// unchanged, and last modified at least `kSettleTime` before if it ends with a newline, else
/// `kReplacementTime` before.
bool ReadsComplete(const std::string& path, const std::function<void()>& read);

}  // namespace wagtailpick::settings
