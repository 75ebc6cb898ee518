#pragma once

#include <string>

#include "node/node_options.h"

namespace wagtailpick::wagtailpick_edge {

/// Runs an entry until SIGTERM or SIGINT, then drains it. SIGHUP reloads `settings_path` and
/// applies its seeds. Returns the exit code of the process: 0, or `kExitCannotStart` with a message
/// on standard error.
int ServeEntry(const node::EntryOptions& options, const std::string& settings_path);

}  // namespace wagtailpick::wagtailpick_edge
