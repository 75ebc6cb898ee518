#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "control/state_data.h"

namespace wagtailpick::control {

/// Encodes the state as CBOR, preceded by its BLAKE2b digest in hexadecimal digits.
std::string EncodeState(const StateData& state);

/// Decodes the result of `EncodeState`; fails with `kCorrupt` on anything else.
base::Result<StateData> DecodeState(std::string_view bytes);

}  // namespace wagtailpick::control
