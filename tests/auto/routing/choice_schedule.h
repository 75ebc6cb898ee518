#pragma once

#include <cstdint>

namespace wagtailpick::routing {

/// What a random schedule did and how often it broke an invariant.
struct ScheduleCounts {
  std::uint64_t choices = 0;
  std::uint64_t shifted = 0;
  std::uint64_t refused = 0;
  std::uint64_t cap_exceeded = 0;
  std::uint64_t link_exceeded = 0;
  std::uint64_t region_overloaded = 0;
  std::uint64_t drained_work = 0;
  /// Choices that differ from the set of candidates found by looking at every row.
  std::uint64_t not_eligible = 0;

  ScheduleCounts& operator+=(const ScheduleCounts& other);
};

/// Runs six entries that choose among the places of three regions, with summaries that are late,
/// lost or wrong, drains that come and go, and shares of caps and links.
ScheduleCounts RunChoiceSchedule(std::uint64_t seed);

}  // namespace wagtailpick::routing
