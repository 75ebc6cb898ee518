#pragma once

#include <cstdint>
#include <string_view>

#include "base/result.h"
#include "routing/client_address.h"
#include "routing/ids.h"

namespace wagtailpick::routing {

/// Callers with a common address prefix, and the data centre that is nearest to them. A block that
/// the bundle assigns to a region is given to one of the region's data centres by the driver.
struct ClientBlock {
  /// First address; the bits after the prefix are 0.
  ClientAddress first;
  /// 0 to 32 for IPv4, 0 to 128 for IPv6.
  std::uint8_t prefix_length = 0;
  PlaceId place = 0;
};

/// Parses "10.1.0.0/16" or "2001:db8::/32". Fails with `kInvalidArgument` on a bad address, a
/// prefix length out of range and set bits after the prefix.
base::Result<ClientBlock> ParseClientBlock(std::string_view text, PlaceId place);

/// Returns the last address of `block`.
ClientAddress LastAddress(const ClientBlock& block);

/// Checks prefix length and the bits after the prefix; fails with `kInvalidArgument`.
base::Result<void> CheckClientBlock(const ClientBlock& block);

}  // namespace wagtailpick::routing
