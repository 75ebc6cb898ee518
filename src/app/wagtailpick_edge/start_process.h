#pragma once

#include <string>

namespace wagtailpick::wagtailpick_edge {

/// Starts the role of the settings file `settings_path` and serves until SIGTERM or SIGINT; ends
/// the process then. What may be there in a moment is waited for: settings that are being replaced
/// for `settings::kMaxReadTime`, addresses, the data folder and the log file for 10 s. Returns the
/// exit code when the process was told to stop meanwhile or cannot start; the reason is on standard
/// error.
int StartProcess(const std::string& settings_path);

}  // namespace wagtailpick::wagtailpick_edge
