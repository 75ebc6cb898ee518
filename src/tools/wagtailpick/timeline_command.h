#pragma once

#include <string>
#include <vector>

namespace wagtailpick::tool {

/// Fetches the events of all daemons from their admin addresses and prints them in one order.
/// Returns the exit code; daemons that can't be reached are named on standard error.
int ShowTimeline(const std::vector<std::string>& admin, bool as_json);

}  // namespace wagtailpick::tool
