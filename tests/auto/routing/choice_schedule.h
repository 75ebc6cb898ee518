#pragma once

#include <cstdint>

namespace wagtailpick::routing {

/// Counts of the choices in a random schedule and of the violated invariants.
struct ScheduleCounts {
  std::uint64_t choices = 0;
  std::uint64_t shifted = 0;
  std::uint64_t refused = 0;
  std::uint64_t cap_exceeded = 0;
  std::uint64_t link_exceeded = 0;
  std::uint64_t region_overloaded = 0;
  std::uint64_t drained_work = 0;
  /// Choices that are not among the candidates found by a search of all pools, and refusals
  /// although there was a candidate.
  std::uint64_t not_eligible = 0;

  ScheduleCounts& operator+=(const ScheduleCounts& other);
};

/// Runs six entries that choose among the data centres of three regions, with summaries that are
/// late, lost or wrong, drains that start and end, and shares of caps and links. Equal seeds give
/// equal schedules.
ScheduleCounts RunChoiceSchedule(std::uint64_t seed);

}  // namespace wagtailpick::routing
