#include "claims/digests.h"

#include <sodium.h>

#include <initializer_list>

namespace wagtailpick::claims {
namespace {

// Hashes each part with its length in front, so that different lists of parts never give the same
// input.
template <std::size_t Size>
std::array<std::uint8_t, Size> Digest(std::initializer_list<std::string_view> parts) {
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, Size);
  for (const std::string_view part : parts) {
    const std::uint64_t length = part.size();
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(&length),
                              sizeof length);
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()),
                              part.size());
  }
  std::array<std::uint8_t, Size> digest{};
  crypto_generichash_final(&state, digest.data(), digest.size());
  return digest;
}

}  // namespace

KeyDigest DigestKey(std::string_view service, std::string_view authorization,
                    std::string_view idempotency_key) {
  return Digest<std::tuple_size_v<KeyDigest>>({"request", service, authorization, idempotency_key});
}

KeyDigest DigestTrial(std::string_view trial_key) {
  return Digest<std::tuple_size_v<KeyDigest>>({"trial", trial_key});
}

BodyDigest DigestBody(std::string_view method, std::string_view target, std::string_view body) {
  return Digest<std::tuple_size_v<BodyDigest>>({method, target, body});
}

}  // namespace wagtailpick::claims
