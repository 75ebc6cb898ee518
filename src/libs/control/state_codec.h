#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "control/state_data.h"

namespace wagtailpick::control {

/// Returns the state as a BLAKE2b digest in hexadecimal digits followed by CBOR.
std::string EncodeState(const StateData& state);

/// Reads what `EncodeState` made; fails with `kCorrupt` on anything else.
base::Result<StateData> DecodeState(std::string_view bytes);

}  // namespace wagtailpick::control
