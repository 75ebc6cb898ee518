#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wagtailpick::http {

/// One header field.
struct Header {
  std::string name;
  std::string value;
};

using Headers = std::vector<Header>;

/// Compares header names without regard to the case of ASCII letters.
bool SameName(std::string_view first, std::string_view second);

/// Returns the value of the first field called `name`, or null.
const std::string* FindHeader(const Headers& headers, std::string_view name);

/// Tells whether the name is a token and the value has no control characters (RFC 9110, 5.1 and
/// 5.5). Other fields could mean something else to the next hop.
bool IsWellFormed(const Header& header);

/// Tells whether a field concerns one connection only and must not be passed on (RFC 9110, 7.6.1).
bool IsHopByHop(std::string_view name);

}  // namespace wagtailpick::http
