#include "bundle/hex.h"

#include <sodium.h>

namespace wagtailpick::bundle {

std::string EncodeHex(const std::string& bytes) {
  std::string hex(2 * bytes.size() + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                 bytes.size());
  hex.pop_back();
  return hex;
}

std::optional<std::string> DecodeHex(const std::string& hex, std::size_t size) {
  if (hex.size() != 2 * size) return std::nullopt;
  std::string bytes(size, '\0');
  std::size_t decoded = 0;
  const int failed = sodium_hex2bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(),
                                    hex.data(), hex.size(), nullptr, &decoded, nullptr);
  if (failed != 0 || decoded != size) return std::nullopt;
  return bytes;
}

}  // namespace wagtailpick::bundle
