#include <docopt/docopt.h>

#include <cstdio>
#include <exception>

#include "renewal_cost.h"
#include "seeded_runs.h"
#include "snapshot_size.h"

namespace {

constexpr char kUsage[] = R"(Measures the control library and runs its seeded schedules.

Usage:
  bench_control [--seeds=N]
  bench_control --help

Options:
  --seeds=N  Seeds of each schedule [default: 10000].
  --help     Show this text.
)";

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  try {
    const auto seeds = arguments.at("--seeds").asLong();
    wagtailpick::control::PrintRenewalCost();
    wagtailpick::control::PrintSnapshotSize();
    return wagtailpick::control::PrintSeededRuns(static_cast<std::uint64_t>(seeds)) ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "bench_control: --seeds: not a number: %s\n", error.what());
    return 2;
  }
}
