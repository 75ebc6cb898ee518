#pragma once

#include "claim_simulation_options.h"
#include "run_checker.h"

namespace wagtailpick::claims {

/// Simulates callers, entries and replicas with the random faults of one seed and returns the
/// counters.
Counts RunClaimSimulation(const ClaimSimulationOptions& options);

}  // namespace wagtailpick::claims
