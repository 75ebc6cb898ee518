#include <cstdio>
#include <cstdlib>

#include "seed_run.h"
#include "slot_speed.h"

namespace {

constexpr std::uint64_t kDefaultSeeds = 10'000;
/// Half of the cores of the build machine, which is shared with others.
constexpr unsigned kThreads = 4;

}  // namespace

/// Usage: bench_admission [SEEDS]. The exit code is 1 if a simulation violated an invariant.
int main(int argc, char** argv) {
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kDefaultSeeds;
  wagtailpick::admission::MeasureSlotTable();
  const std::uint64_t violations = wagtailpick::admission::RunSeeds(seeds, kThreads);
  return violations == 0 ? 0 : 1;
}
