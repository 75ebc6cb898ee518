#include "routing/client_address.h"

#include <arpa/inet.h>

#include <array>
#include <cstddef>
#include <string>

namespace wagtailpick::routing {
namespace {

std::uint64_t ReadBigEndian(const std::uint8_t* bytes, std::size_t count) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < count; ++i) value = (value << 8U) | bytes[i];
  return value;
}

}  // namespace

base::Result<ClientAddress> ParseClientAddress(std::string_view text) {
  constexpr std::uint64_t kMappedPrefix = 0xffff;
  const std::string copy(text);
  std::array<std::uint8_t, 16> bytes{};
  if (inet_pton(AF_INET, copy.c_str(), bytes.data()) == 1) {
    return ClientAddress{AddressFamily::kIpv4, 0, ReadBigEndian(bytes.data(), 4)};
  }
  if (inet_pton(AF_INET6, copy.c_str(), bytes.data()) != 1) {
    return base::Fail(base::ErrorCode::kInvalidArgument,
                      "not an IPv4 or IPv6 address: \"" + copy + "\"");
  }
  const std::uint64_t high = ReadBigEndian(bytes.data(), 8);
  const std::uint64_t low = ReadBigEndian(bytes.data() + 8, 8);
  if (high == 0 && (low >> 32U) == kMappedPrefix) {
    return ClientAddress{AddressFamily::kIpv4, 0, low & 0xffffffffU};
  }
  return ClientAddress{AddressFamily::kIpv6, high, low};
}

}  // namespace wagtailpick::routing
