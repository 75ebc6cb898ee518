#pragma once

#include <string>

#include "base/result.h"
#include "cluster/messages.h"

namespace wagtailpick::cluster {

/// Encodes a message as a frame: its kind, and its fields as MessagePack, compressed when long.
std::string Encode(const Message& message);

/// Decodes a frame. Fails with `kCorrupt` when `Encode` cannot have produced it, or when it has
/// more than 64 MiB uncompressed.
base::Result<Message> Decode(const std::string& frame);

}  // namespace wagtailpick::cluster
