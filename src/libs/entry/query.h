#pragma once

#include <map>
#include <string>

namespace wagtailpick::entry {

/// Returns the path of a request target without its query.
std::string PathOf(const std::string& target);

/// Returns the percent-decoded parameters of a request target's query. The first occurrence of a
/// repeated parameter is used.
std::map<std::string, std::string> ParseQuery(const std::string& target);

}  // namespace wagtailpick::entry
