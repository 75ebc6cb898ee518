#include "base/process_memory.h"

#include <fstream>
#include <limits>
#include <string>

namespace wagtailpick::base {
namespace {

constexpr std::int64_t kBytesPerKib = 1'024;

}  // namespace

ProcessMemory ReadProcessMemory() {
  ProcessMemory memory;
  std::ifstream status("/proc/self/status");
  std::string key;
  while (status >> key) {
    std::int64_t* const value = key == "VmRSS:"   ? &memory.resident
                                : key == "VmHWM:" ? &memory.peak
                                                  : nullptr;
    if (value != nullptr && status >> *value) *value *= kBytesPerKib;
    status.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
  }
  return memory;
}

}  // namespace wagtailpick::base
