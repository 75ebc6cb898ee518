#pragma once

#include <cstdint>

namespace wagtailpick::claims {

/// Runs the seeded checkers of claims and of suspect requests, prints a row for each and returns
/// how many promises were broken.
std::uint64_t PrintSeedTable(std::uint64_t seeds);

}  // namespace wagtailpick::claims
