#pragma once

#include <cstdint>

#include "schedule.h"

namespace wagtailpick::admission {

/// Runs one seeded schedule of owner entries, a control leader and upstreams.
CheckResult CheckSlots(std::uint64_t seed, Fault fault = Fault::kNone);

}  // namespace wagtailpick::admission
