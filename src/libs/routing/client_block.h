#pragma once

#include <cstdint>
#include <string_view>

#include "base/result.h"
#include "routing/client_address.h"
#include "routing/ids.h"

namespace wagtailpick::routing {

/// Callers with a common address prefix, and the data centre nearest to them. A block that the
/// bundle assigns to a region is assigned to one of its data centres before it gets here.
struct ClientBlock {
  /// First address of the block; the bits after the prefix are 0.
  ClientAddress first;
  /// 0 to 32 for IPv4, 0 to 128 for IPv6.
  std::uint8_t prefix_length = 0;
  PlaceId place = 0;
};

/// Parses a block such as "10.1.0.0/16" or "2001:db8::/32". Fails with `kInvalidArgument` if the
/// address is malformed, the prefix length is out of range or a bit after the prefix is set.
base::Result<ClientBlock> ParseClientBlock(std::string_view text, PlaceId place);

/// Returns the last address of `block`.
ClientAddress LastAddress(const ClientBlock& block);

/// Fails with `kInvalidArgument` if the prefix length is out of range or a bit after the prefix is
/// set.
base::Result<void> CheckClientBlock(const ClientBlock& block);

}  // namespace wagtailpick::routing
