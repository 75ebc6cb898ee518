#pragma once

#include <cstdint>

#include "simulation/checker.h"
#include "simulation/faults.h"

namespace wagtailpick::consensus::simulation {

/// What one seeded run did.
struct ScheduleResult {
  Checker checker;
  std::uint64_t events = 0;
  std::uint64_t committed = 0;
  std::uint64_t disks_lost = 0;
  std::uint64_t changes = 0;
};

/// Runs a random schedule of faults and proposals, then recovers everything and checks that the
/// group works and that every replica has every committed entry. Equal seeds give equal runs.
ScheduleResult RunSchedule(std::uint64_t seed, Faults faults = {});

}  // namespace wagtailpick::consensus::simulation
