#pragma once

#include <string>

namespace wagtailpick::base {

/// Returns a new random 128-bit identifier as 32 hexadecimal digits.
std::string RandomId();

/// Returns the BLAKE2b-256 digest of `data` as 64 hexadecimal digits.
std::string DigestHex(const std::string& data);

}  // namespace wagtailpick::base
