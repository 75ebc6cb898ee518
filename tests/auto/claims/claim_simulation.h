#pragma once

#include "claim_simulation_options.h"
#include "run_checker.h"

namespace wagtailpick::claims {

/// Runs callers, entries and replicas under the faults of one seed and returns what was counted.
Counts RunClaimSimulation(const ClaimSimulationOptions& options);

}  // namespace wagtailpick::claims
