#pragma once

#include <string>

namespace wagtailpick::cluster {

/// Whether MessagePack bytes nest more than 16 levels; messages nest 5 at most. The decoder calls
/// itself for each level, so that deeper bytes would overflow the stack.
bool IsNestedTooDeep(const std::string& packed);

}  // namespace wagtailpick::cluster
