#pragma once

#include <cstdint>

namespace wagtailpick::base {

/// Memory of this process in bytes, as the kernel counts it. Both are 0 where the kernel does not
/// tell.
struct ProcessMemory {
  std::int64_t resident = 0;
  /// Largest value of `resident` since the start.
  std::int64_t peak = 0;
};

ProcessMemory ReadProcessMemory();

}  // namespace wagtailpick::base
