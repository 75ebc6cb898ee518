#include "safety/fingerprint.h"

#include <sodium.h>

namespace wagtailpick::safety {

Fingerprint FingerprintOf(std::string_view service, std::string_view method,
                          std::string_view target, std::string_view body) {
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, std::tuple_size_v<Fingerprint>);
  // The length before each part makes the hashed bytes of different lists of parts differ.
  for (const std::string_view part : {service, method, target, body}) {
    const std::uint64_t length = part.size();
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(&length),
                              sizeof length);
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()),
                              part.size());
  }
  Fingerprint fingerprint{};
  crypto_generichash_final(&state, fingerprint.data(), fingerprint.size());
  return fingerprint;
}

std::string ToHex(const Fingerprint& fingerprint) {
  std::string hex(2 * fingerprint.size() + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), fingerprint.data(), fingerprint.size());
  hex.pop_back();
  return hex;
}

}  // namespace wagtailpick::safety
