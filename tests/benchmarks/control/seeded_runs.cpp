#include "seeded_runs.h"

#include <cinttypes>
#include <cstdio>

#include "session_simulation.h"
#include "share_simulation.h"
#include "state_run.h"

namespace wagtailpick::control {
namespace {

constexpr int kCommands = 300;
constexpr std::chrono::seconds kSessionRun{30};
constexpr std::chrono::seconds kShareRun{40};

bool PrintRow(const char* invariant, std::uint64_t seeds, std::uint64_t events,
              std::uint64_t violations) {
  std::printf("%-42s %8" PRIu64 " %12" PRIu64 " %10" PRIu64 "\n", invariant, seeds, events,
              violations);
  return violations == 0;
}

bool PrintStateRuns(std::uint64_t seeds) {
  StateRunTally sum;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto tally = RunState(seed, kCommands);
    sum.events += tally.events;
    sum.differences += tally.differences;
    sum.reverts += tally.reverts;
    sum.two_winners += tally.two_winners;
    sum.accepted_lost += tally.accepted_lost;
    sum.epoch_reuse += tally.epoch_reuse;
    sum.owner_without_session += tally.owner_without_session;
    sum.snapshot_differences += tally.snapshot_differences;
  }
  PrintRow("outcome differs from the naive version", seeds, sum.events, sum.differences);
  PrintRow("version in force reverts", seeds, sum.events, sum.reverts);
  PrintRow("two winners of one version", seeds, sum.events, sum.two_winners);
  PrintRow("accepted bundle not known", seeds, sum.events, sum.accepted_lost);
  PrintRow("epoch not above earlier ones", seeds, sum.events, sum.epoch_reuse);
  PrintRow("owner without open session", seeds, sum.events, sum.owner_without_session);
  PrintRow("snapshot gives another state", seeds, sum.events, sum.snapshot_differences);
  return sum.violations() == 0;
}

bool PrintSessionRuns(std::uint64_t seeds) {
  SessionSimulationTally sum;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto tally = SessionSimulation(seed, {}).Run(kSessionRun);
    sum.events += tally.events;
    sum.lease_cut_short += tally.lease_cut_short;
    sum.owned_twice += tally.owned_twice;
    sum.missing_quarantine += tally.missing_quarantine;
  }
  bool clean =
      PrintRow("session ended while its lease was held", seeds, sum.events, sum.lease_cut_short);
  clean = PrintRow("upstream owned twice", seeds, sum.events, sum.owned_twice) && clean;
  return PrintRow("quarantine missing", seeds, sum.events, sum.missing_quarantine) && clean;
}

bool PrintShareRuns(std::uint64_t seeds) {
  ShareSimulationTally sum;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto tally = ShareSimulation(seed, {}).Run(kShareRun);
    sum.events += tally.events;
    sum.cap_exceeded += tally.cap_exceeded;
  }
  return PrintRow("cap exceeded in a window", seeds, sum.events, sum.cap_exceeded);
}

}  // namespace

bool PrintSeededRuns(std::uint64_t seeds) {
  std::printf("%-42s %8s %12s %10s\n", "invariant", "seeds", "events", "violations");
  bool clean = PrintStateRuns(seeds);
  clean = PrintSessionRuns(seeds) && clean;
  return PrintShareRuns(seeds) && clean;
}

}  // namespace wagtailpick::control
