#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace wagtailpick::base {

/// An IPv4 or IPv6 address with a TCP port.
struct Endpoint {
  /// Without brackets, also for IPv6.
  std::string address;
  std::uint16_t port = 0;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// Parses an address with a port, such as "127.0.0.1:8080" or "[::1]:8080". Fails with
/// `kInvalidArgument` for a host name, a missing port or a port outside 1 to 65535.
Result<Endpoint> ParseEndpoint(std::string_view text);

/// Formats `endpoint` as `ParseEndpoint` accepts it.
std::string ToString(const Endpoint& endpoint);

}  // namespace wagtailpick::base
