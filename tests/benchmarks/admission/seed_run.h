#pragma once

#include <cstdint>

namespace wagtailpick::admission {

/// Runs the slot and share simulations with `seeds` seeds each on `threads` threads and prints the
/// sums of their counters. Returns the number of violations.
std::uint64_t RunSeeds(std::uint64_t seeds, unsigned threads);

}  // namespace wagtailpick::admission
