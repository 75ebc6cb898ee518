#include "schedule_bench.h"

#include <array>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

#include "simulation/schedule.h"

namespace wagtailpick::consensus {
namespace {

using simulation::kViolationKinds;
using simulation::ScheduleResult;
using simulation::Violation;

constexpr unsigned kThreads = 4;

struct Totals {
  std::uint64_t events = 0;
  std::uint64_t committed = 0;
  std::uint64_t disks_lost = 0;
  std::uint64_t changes = 0;
  std::array<std::uint64_t, kViolationKinds> violations{};
  std::array<std::uint64_t, kViolationKinds> first_seed{};

  void Add(std::uint64_t seed, const ScheduleResult& result) {
    events += result.events;
    committed += result.committed;
    disks_lost += result.disks_lost;
    changes += result.changes;
    for (std::size_t kind = 0; kind < kViolationKinds; ++kind) {
      const std::uint64_t count = result.checker.count(static_cast<Violation>(kind));
      violations[kind] += count;
      if (count > 0 && (first_seed[kind] == 0 || seed < first_seed[kind])) first_seed[kind] = seed;
    }
  }
};

Totals RunAll(std::uint64_t seeds) {
  Totals totals;
  std::mutex mutex;
  std::atomic<std::uint64_t> next{1};
  std::vector<std::jthread> threads;
  for (unsigned i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t seed = next++; seed <= seeds; seed = next++) {
        const ScheduleResult result = simulation::RunSchedule(seed);
        const std::lock_guard lock(mutex);
        totals.Add(seed, result);
      }
    });
  }
  threads.clear();
  return totals;
}

}  // namespace

bool PrintSchedules(std::uint64_t seeds) {
  const Totals totals = RunAll(seeds);
  std::printf("seeds %lu, events %lu, entries committed %lu, disks lost %lu, changes %lu\n", seeds,
              totals.events, totals.committed, totals.disks_lost, totals.changes);
  std::uint64_t all = 0;
  for (std::size_t kind = 0; kind < kViolationKinds; ++kind) {
    all += totals.violations[kind];
    std::printf("  %-36s %8lu", ToString(static_cast<Violation>(kind)).data(),
                totals.violations[kind]);
    if (totals.violations[kind] > 0) std::printf("  first at seed %lu", totals.first_seed[kind]);
    std::printf("\n");
  }
  return all == 0;
}

}  // namespace wagtailpick::consensus
