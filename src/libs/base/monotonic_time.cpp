#include "base/monotonic_time.h"

#include <ctime>

namespace wagtailpick::base {
namespace {

std::int64_t ReadMicros(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return static_cast<std::int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1'000;
}

}  // namespace

MonotonicTime MonotonicNow() { return MonotonicTime(Duration(ReadMicros(CLOCK_BOOTTIME))); }

std::int64_t WallNowMillis() { return ReadMicros(CLOCK_REALTIME) / 1'000; }

}  // namespace wagtailpick::base
