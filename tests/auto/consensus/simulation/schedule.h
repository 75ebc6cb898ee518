#pragma once

#include <cstdint>

#include "simulation/checker.h"
#include "simulation/faults.h"

namespace wagtailpick::consensus::simulation {

/// Checker and counts of one run.
struct ScheduleResult {
  Checker checker;
  std::uint64_t events = 0;
  std::uint64_t committed = 0;
  std::uint64_t disks_lost = 0;
  std::uint64_t changes = 0;
};

/// Runs a random schedule of faults and proposals, then recovers all nodes and checks that the
/// group accepts proposals and that every member has all committed entries. Runs with the same seed
/// are identical.
ScheduleResult RunSchedule(std::uint64_t seed, Faults faults = {});

}  // namespace wagtailpick::consensus::simulation
