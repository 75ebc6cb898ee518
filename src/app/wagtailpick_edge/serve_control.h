#pragma once

#include <string>

#include "node/node_options.h"

namespace wagtailpick::wagtailpick_edge {

/// Runs a control replica until SIGTERM or SIGINT. SIGHUP reloads `settings_path` and applies its
/// seeds. Returns the exit code of the process: 0, or `kExitCannotStart` with a message on standard
/// error.
int ServeControl(const node::ControlOptions& options, const std::string& settings_path);

}  // namespace wagtailpick::wagtailpick_edge
