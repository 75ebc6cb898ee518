#pragma once

#include <cstdint>

namespace wagtailpick::control {

/// Runs the schedules with seeds 1 to `seeds` and prints events and violations; returns whether
/// there was no violation.
bool PrintSeededRuns(std::uint64_t seeds);

}  // namespace wagtailpick::control
