#pragma once

#include "run_ledger.h"
#include "world_options.h"

namespace wagtailpick::claims {

/// Runs callers, entries and replicas under the faults of one seed and returns what was counted.
Counts RunClaimWorld(const WorldOptions& options);

}  // namespace wagtailpick::claims
