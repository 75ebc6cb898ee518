#pragma once

#include <string>

#include "base/monotonic_time.h"

namespace wagtailpick::settings {

/// A settings file that is being replaced is complete again within this time.
constexpr base::Duration kReplacementTime = std::chrono::seconds(2);
/// Time between two attempts to read a settings file that may be incomplete.
constexpr base::Duration kReadRetryInterval = std::chrono::milliseconds(50);

/// Whether the file `path` may be incomplete: it is missing, or was modified less than
/// `kReplacementTime` ago.
bool MayBeIncomplete(const std::string& path);

}  // namespace wagtailpick::settings
