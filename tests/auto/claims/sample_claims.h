#pragma once

#include "claims/claim_messages.h"

namespace wagtailpick::claims {

constexpr WallMillis kStart = 1'700'000'000'000;

/// Returns a digest or identifier with all bytes set to `value`.
template <typename Bytes>
Bytes Filled(int value) {
  Bytes bytes{};
  bytes.fill(static_cast<std::uint8_t>(value));
  return bytes;
}

/// A claim by the attempt with the given number, made at `kStart` with a deadline of 1 s.
inline ClaimRequest SampleClaim(int key, int attempt, int body = 1) {
  ClaimRequest request;
  request.key = Filled<KeyDigest>(key);
  request.attempt = Filled<AttemptId>(attempt);
  request.body = Filled<BodyDigest>(body);
  request.started_at = kStart;
  request.deadline = kStart + 1000;
  return request;
}

inline CompleteRequest SampleComplete(const ClaimRequest& claim, const std::string& answer) {
  return {claim.table, claim.key, claim.body, claim.attempt, claim.deadline, answer};
}

inline ReleaseRequest SampleRelease(const ClaimRequest& claim, WallMillis refused_at = 0) {
  return {claim.table, claim.key, claim.attempt, refused_at};
}

}  // namespace wagtailpick::claims
