#pragma once

#include <string>

#include "base/error.h"
#include "node/node_options.h"

namespace wagtailpick::wagtailpick_edge {

/// Runs a control replica until SIGTERM or SIGINT. SIGHUP reloads `settings_path` and applies its
/// seeds. Ends the process then. Returns the reason when the replica cannot start.
base::Error ServeControl(const node::ControlOptions& options, const std::string& settings_path);

}  // namespace wagtailpick::wagtailpick_edge
