#pragma once

#include <optional>
#include <string>

#include "base/result.h"
#include "node/node_options.h"

namespace wagtailpick::wagtailpick_edge {

/// The checked settings of one process; exactly one role is set.
struct EdgeSettings {
  std::string log_file;
  std::optional<node::EntryOptions> entry;
  std::optional<node::ControlOptions> control;

  const node::NodeOptions& node() const { return entry ? entry->node : control->node; }
};

/// Reads an INI file. Fails with one line that names file, section, key and accepted range.
base::Result<EdgeSettings> LoadEdgeSettings(const std::string& path);

}  // namespace wagtailpick::wagtailpick_edge
