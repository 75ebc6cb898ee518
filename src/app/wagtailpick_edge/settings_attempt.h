#pragma once

#include <string>

#include "base/result.h"
#include "wagtailpick_edge/edge_settings.h"

namespace wagtailpick::wagtailpick_edge {

/// One attempt to read settings that may be replaced at the same time.
struct SettingsAttempt {
  /// Reads the file `path`.
  static SettingsAttempt Read(const std::string& path);

  /// As `LoadEdgeSettings` returns them; an error while a valid file may be incomplete.
  base::Result<EdgeSettings> settings;
  /// Whether the file may be incomplete, so that a later attempt may have another result.
  bool may_change;
};

}  // namespace wagtailpick::wagtailpick_edge
