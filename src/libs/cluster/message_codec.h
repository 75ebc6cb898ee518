#pragma once

#include <string>

#include "base/result.h"
#include "cluster/messages.h"

namespace wagtailpick::cluster {

/// Encodes a message as a frame.
std::string Encode(const Message& message);

/// Fails with `kCorrupt` on anything that `Encode` didn't make.
base::Result<Message> Decode(const std::string& frame);

}  // namespace wagtailpick::cluster
