#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "control/commands.h"

namespace wagtailpick::control {

/// Encodes a command as CBOR, the data of a log entry.
std::string EncodeCommand(const Command& command);

/// Decodes the result of `EncodeCommand`; fails with `kCorrupt` on anything else.
base::Result<Command> DecodeCommand(std::string_view bytes);

}  // namespace wagtailpick::control
