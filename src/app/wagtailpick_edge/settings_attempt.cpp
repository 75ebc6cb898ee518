#include "wagtailpick_edge/settings_attempt.h"

#include <utility>

#include "settings/file_age.h"

namespace wagtailpick::wagtailpick_edge {

SettingsAttempt SettingsAttempt::Read(const std::string& path) {
  base::Result<EdgeSettings> loaded = base::Fail(base::ErrorCode::kIo, path + ": can't be read");
  const bool is_complete = settings::ReadsComplete(path, [&] { loaded = LoadEdgeSettings(path); });
  if (!loaded) return {std::move(loaded), settings::MayBeIncomplete(path)};
  if (is_complete) return {std::move(loaded), false};
  return {base::Fail(base::ErrorCode::kUnavailable, path + ": was modified just now"), true};
}

}  // namespace wagtailpick::wagtailpick_edge
