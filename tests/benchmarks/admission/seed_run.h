#pragma once

#include <cstdint>

namespace wagtailpick::admission {

/// Runs `seeds` schedules of the slot checker and of the share checker and prints a table of what
/// they counted. Returns the number of violations.
std::uint64_t RunSeeds(std::uint64_t seeds, unsigned threads);

}  // namespace wagtailpick::admission
