#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

namespace wagtailpick::safety {

/// BLAKE2b-256 hash of what an upstream receives of a request. The idempotency key is left out, as
/// a caller may send the same request again with a new key.
using Fingerprint = std::array<std::uint8_t, 32>;

/// Returns the fingerprint of a request with these parts.
Fingerprint FingerprintOf(std::string_view service, std::string_view method,
                          std::string_view target, std::string_view body);

/// Returns the fingerprint as 64 hexadecimal digits.
std::string ToHex(const Fingerprint& fingerprint);

struct FingerprintHash {
  std::size_t operator()(const Fingerprint& fingerprint) const noexcept {
    std::size_t value = 0;
    std::memcpy(&value, fingerprint.data(), sizeof value);
    return value;
  }
};

}  // namespace wagtailpick::safety
