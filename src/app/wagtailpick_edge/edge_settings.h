#pragma once

#include <optional>
#include <string>

#include "base/result.h"
#include "node/node_options.h"

namespace wagtailpick::wagtailpick_edge {

/// The validated settings of one process. Exactly one of `entry` and `control` is set.
struct EdgeSettings {
  /// Path of the log file, "-" for standard error, or "stdout".
  std::string log_file;
  std::optional<node::EntryOptions> entry;
  std::optional<node::ControlOptions> control;

  /// The settings that all roles have.
  const node::NodeOptions& node() const { return entry ? entry->node : control->node; }
};

/// Reads and validates the INI file `path`. Fails with a one-line message that names the file, the
/// section, the key and what is accepted.
base::Result<EdgeSettings> LoadEdgeSettings(const std::string& path);

}  // namespace wagtailpick::wagtailpick_edge
