#pragma once

#include <string>
#include <vector>

namespace wagtailpick::tool {

/// Prints what the logs in `files` tell of the request `id`, in time order: its own lines, and for
/// each process that handled it what it believed before the first of them (its catalog,
/// evacuations, the replica that it followed, and the upstreams that the request was sent to). Text
/// before a line's JSON object is ignored. Returns the exit code; a file that can't be read is
/// named on standard error.
int ExplainRequest(const std::string& id, const std::vector<std::string>& files, bool as_json);

}  // namespace wagtailpick::tool
