#pragma once

#include <string>
#include <vector>

namespace wagtailpick::tool {

/// Fetches the events of the daemons at the admin addresses `admin` and prints them merged by their
/// time stamps. Returns `kExitRefused` if a daemon could not be reached, which is printed on
/// standard error, otherwise `kExitDone`.
int ShowTimeline(const std::vector<std::string>& admin, bool as_json);

}  // namespace wagtailpick::tool
