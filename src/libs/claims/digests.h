#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace wagtailpick::claims {

/// Wall-clock time in milliseconds since the Unix epoch.
using WallMillis = std::int64_t;

/// Maximum difference between the wall clocks of two VMs that the protocol allows for.
constexpr WallMillis kMaxClockSkewMs = 100;

/// BLAKE2b-256 digest that identifies the key of a claim.
using KeyDigest = std::array<std::uint8_t, 32>;

/// BLAKE2b-128 digest of the request that a key was used for. A collision affects only the caller
/// that causes it, so 128 bits are sufficient.
using BodyDigest = std::array<std::uint8_t, 16>;

/// Random identifier of one attempt to run a request; never used twice.
using AttemptId = std::array<std::uint8_t, 16>;

/// Returns the key digest for an idempotency key of a service. It covers the caller's
/// `Authorization` header, so that callers with different credentials do not get each other's
/// answers when they choose the same key.
KeyDigest DigestKey(std::string_view service, std::string_view authorization,
                    std::string_view idempotency_key);

/// Returns the key digest that a trial of a suspect request must claim before it runs.
KeyDigest DigestTrial(std::string_view trial_key);

/// Returns the digest of a request, to distinguish a repeated request from a different one with the
/// same key.
BodyDigest DigestBody(std::string_view method, std::string_view target, std::string_view body);

/// Hash function for digests and random identifiers: their first bytes, which are uniformly
/// distributed.
struct LeadingBytesHash {
  template <std::size_t Size>
  std::size_t operator()(const std::array<std::uint8_t, Size>& bytes) const noexcept {
    std::size_t value = 0;
    std::memcpy(&value, bytes.data(), sizeof value);
    return value;
  }
};

}  // namespace wagtailpick::claims
