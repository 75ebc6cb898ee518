#pragma once

#include <string>

#include "node/node_options.h"

namespace wagtailpick::wagtailpick_edge {

/// Runs an entry until SIGTERM or SIGINT, then drains it. SIGHUP reloads `settings_path` and
/// applies its seeds. Ends the process then. Returns `kExitCannotStart`, with a message on standard
/// error, when the entry cannot start.
int ServeEntry(const node::EntryOptions& options, const std::string& settings_path);

}  // namespace wagtailpick::wagtailpick_edge
