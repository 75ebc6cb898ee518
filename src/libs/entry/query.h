#pragma once

#include <map>
#include <string>

namespace wagtailpick::entry {

/// Returns the path of a request target, without its query.
std::string PathOf(const std::string& target);

/// Splits the query of a request target into its parameters, percent-decoded. Of a repeated
/// parameter the first one counts.
std::map<std::string, std::string> ParseQuery(const std::string& target);

}  // namespace wagtailpick::entry
