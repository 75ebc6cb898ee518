#pragma once

#include <string>
#include <vector>

namespace wagtailpick::tool {

/// Prints the lines of the logs in `files` that explain how the request `id` was handled, in time
/// order: the lines about the request and, for each process that handled it, the events that give
/// its routing state before the first of these lines (its catalog, evacuations, the replica that it
/// followed, and the upstreams that the request was sent to). Text before a line's JSON object is
/// ignored. Returns `kExitDone`, `kExitRefused` if no line has the request id, or `kExitWrongInput`
/// if a file cannot be read; the errors are printed on standard error.
int ExplainRequest(const std::string& id, const std::vector<std::string>& files, bool as_json);

}  // namespace wagtailpick::tool
