#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace wagtailpick::claims {

/// Wall-clock time in milliseconds since the Unix epoch.
using WallMillis = std::int64_t;

/// The assumed bound on the difference between the wall clocks of two VMs.
constexpr WallMillis kMaxClockSkewMs = 100;

/// BLAKE2b-256 of what identifies a claim.
using KeyDigest = std::array<std::uint8_t, 32>;

/// BLAKE2b-128 of what the key was used for. Only the caller itself gains nothing from a collision,
/// so the short form is enough.
using BodyDigest = std::array<std::uint8_t, 16>;

/// Random identifier of one attempt to run a request; never used twice.
using AttemptId = std::array<std::uint8_t, 16>;

/// Returns the digest of an idempotency key. It covers the caller's `Authorization` header, so that
/// callers who authenticate don't share answers by choosing equal keys.
KeyDigest DigestKey(std::string_view service, std::string_view authorization,
                    std::string_view idempotency_key);

/// Returns the key of the register that one trial of a suspect request has to win.
KeyDigest DigestTrial(std::string_view trial_key);

/// Returns the digest that tells a resent request from a different one under the same key.
BodyDigest DigestBody(std::string_view method, std::string_view target, std::string_view body);

/// Hashes a digest or random identifier by its first bytes, which are already uniform.
struct LeadingBytesHash {
  template <std::size_t Size>
  std::size_t operator()(const std::array<std::uint8_t, Size>& bytes) const noexcept {
    std::size_t value = 0;
    std::memcpy(&value, bytes.data(), sizeof value);
    return value;
  }
};

}  // namespace wagtailpick::claims
