#pragma once

#include <cstdint>

namespace wagtailpick::consensus {

/// Runs random schedules with seeds 1 to `seeds` on four threads and prints a table of the
/// violations. Returns whether there were none.
bool PrintSchedules(std::uint64_t seeds);

}  // namespace wagtailpick::consensus
