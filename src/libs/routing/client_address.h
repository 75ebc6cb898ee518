#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "base/result.h"

namespace wagtailpick::routing {

/// Family of an address. An IPv4-mapped IPv6 address (::ffff:0:0/96) is treated as IPv4.
enum class AddressFamily : std::uint8_t { kIpv4, kIpv6 };

/// The IP address of a caller. An IPv4 address is stored in the low 32 bits of `low`.
struct ClientAddress {
  AddressFamily family = AddressFamily::kIpv4;
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const ClientAddress&, const ClientAddress&) = default;
};

/// Parses an IPv4 or IPv6 address. Fails with `kInvalidArgument` on anything else.
base::Result<ClientAddress> ParseClientAddress(std::string_view text);

}  // namespace wagtailpick::routing
