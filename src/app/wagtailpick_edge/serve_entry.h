#pragma once

#include <string>

#include "node/node_options.h"

namespace wagtailpick::wagtailpick_edge {

/// Serves as an entry until SIGTERM; `settings_path` is read again on SIGHUP and when it changes.
/// Returns the exit code.
int ServeEntry(const node::EntryOptions& options, const std::string& settings_path);

}  // namespace wagtailpick::wagtailpick_edge
