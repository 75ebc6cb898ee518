#include "limits/issuer_choice.h"

#include <xxhash.h>

#include <cstdint>
#include <tuple>

namespace wagtailpick::limits {

std::string ChooseIssuer(const std::string& upstream, const std::vector<Issuer>& issuers) {
  const std::uint64_t seed = XXH3_64bits(upstream.data(), upstream.size());
  const auto rank = [seed](const Issuer& issuer) {
    const auto score = XXH3_64bits_withSeed(issuer.name.data(), issuer.name.size(), seed);
    return std::make_tuple(issuer.near_upstream, score);
  };
  const Issuer* best = nullptr;
  for (const auto& issuer : issuers) {
    if (best == nullptr || rank(issuer) > rank(*best)) best = &issuer;
  }
  return best == nullptr ? std::string() : best->name;
}

}  // namespace wagtailpick::limits
