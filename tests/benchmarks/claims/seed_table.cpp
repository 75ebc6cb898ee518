#include "seed_table.h"

#include <atomic>
#include <cinttypes>
#include <cstdio>
#include <functional>
#include <thread>
#include <vector>

#include "claim_simulation.h"
#include "suspect_simulation.h"

namespace wagtailpick::claims {
namespace {

// Fewer than half of the cores of the build machine, which is shared with others.
constexpr unsigned kThreads = 4;

template <typename Total>
Total RunSeeds(std::uint64_t seeds, const std::function<Total(std::uint64_t)>& run) {
  std::atomic<std::uint64_t> next{0};
  std::vector<Total> totals(kThreads);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (Total& total : totals) {
    threads.emplace_back([&] {
      for (std::uint64_t seed = next++; seed < seeds; seed = next++) total.Add(run(seed));
    });
  }
  for (std::thread& thread : threads) thread.join();
  Total sum;
  for (const Total& total : totals) sum.Add(total);
  return sum;
}

std::uint64_t PrintClaims(std::uint64_t seeds, std::size_t replicas) {
  const Counts c = RunSeeds<Counts>(seeds, [&](std::uint64_t seed) {
    return RunClaimSimulation({seed, replicas, Disabled::kNothing});
  });
  std::printf("claims, %zu replicas   %7" PRIu64 " %11" PRIu64 "   second runs %" PRIu64
              ", wrong not-run %" PRIu64
              ", foreign answers "
              "%" PRIu64 "   (runs %" PRIu64 ", replays %" PRIu64 ", not run %" PRIu64
              ", disks lost %" PRIu64 ", copied back %" PRIu64 ")\n",
              replicas, seeds, c.events, c.second_runs, c.wrong_not_run, c.foreign_answers, c.runs,
              c.replays, c.not_run, c.disks_lost, c.copies_done);
  return c.violations();
}

std::uint64_t PrintSuspects(std::uint64_t seeds) {
  const auto c = RunSeeds<safety::SuspectCounts>(seeds, [](std::uint64_t seed) {
    return safety::RunSuspectSimulation({seed, safety::Disabled::kNothing});
  });
  std::printf("suspect requests     %7" PRIu64 " %11" PRIu64 "   third upstreams %" PRIu64
              ", common requests blocked %" PRIu64 "   (crashes %" PRIu64 ", trials %" PRIu64
              ", blocked answers %" PRIu64 ", common answers %" PRIu64 ")\n",
              seeds, c.events, c.excess_crashes, c.common_blocked, c.crashes, c.trials,
              c.blocked_answers, c.common_answers);
  return c.violations();
}

}  // namespace

std::uint64_t PrintSeedTable(std::uint64_t seeds) {
  std::printf("checker                seeds      events   violations\n");
  return PrintClaims(seeds, 3) + PrintClaims(seeds, 5) + PrintSuspects(seeds);
}

}  // namespace wagtailpick::claims
