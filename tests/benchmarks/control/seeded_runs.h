#pragma once

#include <cstdint>

namespace wagtailpick::control {

/// Runs the simulations with seeds 1 to `seeds` and prints events and violations. Returns true when
/// there was no violation.
bool PrintSeededRuns(std::uint64_t seeds);

}  // namespace wagtailpick::control
