#pragma once

#include <string>

namespace wagtailpick::cluster {

/// Whether MessagePack bytes may nest so deeply that decoding them would overflow the stack, as the
/// decoder calls itself for each level. Messages nest 5 levels at most.
bool IsNestedTooDeep(const std::string& packed);

}  // namespace wagtailpick::cluster
