#include "base/random_id.h"

#include <sodium.h>

#include <array>

namespace wagtailpick::base {
namespace {

template <std::size_t Size>
std::string ToHex(const std::array<unsigned char, Size>& bytes) {
  std::string hex(2 * Size + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
  hex.pop_back();
  return hex;
}

}  // namespace

std::string RandomId() {
  std::array<unsigned char, 16> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  return ToHex(bytes);
}

std::string DigestHex(const std::string& data) {
  std::array<unsigned char, 32> digest{};
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char*>(data.data()), data.size(), nullptr, 0);
  return ToHex(digest);
}

}  // namespace wagtailpick::base
