#pragma once

#include <string>

#include "base/error.h"
#include "node/node_options.h"

namespace wagtailpick::wagtailpick_edge {

/// Runs an entry until SIGTERM or SIGINT, then drains it. SIGHUP reloads `settings_path` and
/// applies its seeds. Ends the process then. Returns the reason when the entry cannot start.
base::Error ServeEntry(const node::EntryOptions& options, const std::string& settings_path);

}  // namespace wagtailpick::wagtailpick_edge
