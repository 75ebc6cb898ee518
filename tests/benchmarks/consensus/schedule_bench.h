#pragma once

#include <cstdint>

namespace wagtailpick::consensus {

/// Runs `seeds` random schedules on a few threads and prints a table of the violations; returns
/// whether there were none.
bool PrintSchedules(std::uint64_t seeds);

}  // namespace wagtailpick::consensus
