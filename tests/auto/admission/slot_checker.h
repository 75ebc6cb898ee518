#pragma once

#include <cstdint>

#include "schedule.h"

namespace wagtailpick::admission {

/// Simulates entries that own upstreams, a control leader and upstreams, with random faults.
CheckResult CheckSlots(std::uint64_t seed, Fault fault = Fault::kNone);

}  // namespace wagtailpick::admission
