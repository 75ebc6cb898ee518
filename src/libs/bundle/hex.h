#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace wagtailpick::bundle {

/// Returns `bytes` as lower-case hexadecimal digits.
std::string EncodeHex(const std::string& bytes);

/// Decodes exactly `size` bytes; returns nothing when `hex` has another length or other characters.
std::optional<std::string> DecodeHex(const std::string& hex, std::size_t size);

}  // namespace wagtailpick::bundle
