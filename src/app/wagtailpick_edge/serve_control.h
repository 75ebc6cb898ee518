#pragma once

#include <string>

#include "node/node_options.h"

namespace wagtailpick::wagtailpick_edge {

/// Serves as a control replica until SIGTERM; `settings_path` is read again on SIGHUP. Returns the
/// exit code.
int ServeControl(const node::ControlOptions& options, const std::string& settings_path);

}  // namespace wagtailpick::wagtailpick_edge
