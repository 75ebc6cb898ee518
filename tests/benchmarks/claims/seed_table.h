#pragma once

#include <cstdint>

namespace wagtailpick::claims {

/// Runs the simulations of claims and of suspect requests with `seeds` seeds each and prints a row
/// of counters for each. Returns the number of violated guarantees.
std::uint64_t PrintSeedTable(std::uint64_t seeds);

}  // namespace wagtailpick::claims
