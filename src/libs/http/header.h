#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailpick::http {

/// One header field.
struct Header {
  std::string name;
  std::string value;
};

/// Header fields in the order of the message.
using Headers = std::vector<Header>;

/// Returns whether two header names are equal, ignoring the case of ASCII letters.
bool SameName(std::string_view first, std::string_view second);

/// Returns the value of the first field named `name`, or null if there is none.
const std::string* FindHeader(const Headers& headers, std::string_view name);

/// Returns whether `text` is a token (RFC 9110, 5.6.2), as methods and names of fields are.
bool IsToken(std::string_view text);

/// Returns whether `letter` is a control character other than a tab.
bool IsControl(char letter);

/// Returns `text` without the blanks and tabs around it.
std::string_view TrimBlanks(std::string_view text);

/// Returns the field on `line`, without the blanks around its value; nothing if the name is no
/// token or the value has a control character other than a tab (RFC 9112, 5).
std::optional<Header> ParseFieldLine(std::string_view line);

/// Returns whether the name is a token and the value has no control characters but tabs (RFC 9110,
/// 5.1 and 5.5). The next hop could interpret other fields differently.
bool IsWellFormed(const Header& header);

/// Returns whether a field applies to a single connection and must not be forwarded (RFC
/// 9110, 7.6.1).
bool IsHopByHop(std::string_view name);

}  // namespace wagtailpick::http
