#include "seed_table.h"

#include <atomic>
#include <cstdio>
#include <functional>
#include <thread>
#include <vector>

#include "claim_world.h"
#include "suspect_world.h"

namespace wagtailpick::claims {
namespace {

// Leaves half of a ten-core machine to others.
constexpr unsigned kThreads = 4;

template <typename Total>
Total RunSeeds(std::uint64_t seeds, const std::function<Total(std::uint64_t)>& run) {
  std::atomic<std::uint64_t> next{0};
  std::vector<Total> totals(kThreads);
  std::vector<std::thread> threads;
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

unsigned long long Print(std::uint64_t value) { return value; }

std::uint64_t PrintClaims(std::uint64_t seeds, std::size_t replicas) {
  const Counts c = RunSeeds<Counts>(seeds, [&](std::uint64_t seed) {
    return RunClaimWorld({seed, replicas, Disabled::kNothing});
  });
  std::printf(
      "claims, %zu replicas   %7llu %11llu   second runs %llu, wrong not-run %llu, foreign answers "
      "%llu"
      "   (runs %llu, replays %llu, not run %llu, disks lost %llu, copied back %llu)\n",
      replicas, Print(seeds), Print(c.events), Print(c.second_runs), Print(c.wrong_not_run),
      Print(c.foreign_answers), Print(c.runs), Print(c.replays), Print(c.not_run),
      Print(c.disks_lost), Print(c.copies_done));
  return c.violations();
}

std::uint64_t PrintSuspects(std::uint64_t seeds) {
  const auto c = RunSeeds<safety::SuspectCounts>(seeds, [](std::uint64_t seed) {
    return safety::RunSuspectWorld({seed, safety::Disabled::kNothing});
  });
  std::printf(
      "suspect requests     %7llu %11llu   third upstreams %llu, common requests blocked %llu"
      "   (crashes %llu, trials %llu, blocked answers %llu, common answers %llu)\n",
      Print(seeds), Print(c.events), Print(c.excess_crashes), Print(c.common_blocked),
      Print(c.crashes), Print(c.trials), Print(c.blocked_answers), Print(c.common_answers));
  return c.violations();
}

}  // namespace

std::uint64_t PrintSeedTable(std::uint64_t seeds) {
  std::printf("checker                seeds      events   violations\n");
  return PrintClaims(seeds, 3) + PrintClaims(seeds, 5) + PrintSuspects(seeds);
}

}  // namespace wagtailpick::claims
