#pragma once

#include <unistd.h>

#include <string>

namespace wagtailpick::testing {

/// Returns the loopback address number `node`, below 256, of this process. Test processes that run
/// at the same time get different addresses, so that they can use the same ports.
inline std::string LoopbackAddress(int node) {
  const auto process = static_cast<unsigned>(getpid());
  return "127." + std::to_string(128 + process % 64) + "." + std::to_string(process / 64 % 250) +
         "." + std::to_string(node);
}

}  // namespace wagtailpick::testing
