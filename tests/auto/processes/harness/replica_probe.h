#pragma once

#include <optional>
#include <set>
#include <string>

#include "base/endpoint.h"

namespace wagtailpick::processes {

/// Asks an edge replica for all its upstreams, over a link as an entry opens it. Returns their ids,
/// or nothing when no answer comes in time.
std::optional<std::set<std::string>> UpstreamsKnownAt(const base::Endpoint& replica);

}  // namespace wagtailpick::processes
