#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace wagtailpick::base {

/// Longest text from outside, in bytes, that an error message or a log field quotes.
inline constexpr std::size_t kMaxQuotedBytes = 64;

/// Whether `text` is valid UTF-8 without control characters.
bool IsPrintable(std::string_view text);

/// Returns `text` in a form that is safe in logs and error messages: bytes that are not printable
/// UTF-8 are written as `\xNN`. A text longer than `max_bytes` is cut and ends with "...".
std::string ToPrintable(std::string_view text, std::size_t max_bytes = kMaxQuotedBytes);

}  // namespace wagtailpick::base
