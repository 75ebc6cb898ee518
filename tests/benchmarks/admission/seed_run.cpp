#include "seed_run.h"

#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

#include "share_checker.h"
#include "slot_checker.h"

namespace wagtailpick::admission {
namespace {

/// Maximum number of failed seeds that are printed; a defect can fail thousands of seeds.
constexpr std::uint64_t kMaxPrintedSeeds = 10;

struct Totals {
  std::mutex mutex;
  std::uint64_t printed = 0;
  CheckResult slots;
  ShareResult shares;
};

void AddSlots(CheckResult& sum, const CheckResult& result) {
  sum.events += result.events;
  sum.runs += result.runs;
  sum.takeovers += result.takeovers;
  sum.handovers += result.handovers;
  sum.slots_exceeded += result.slots_exceeded;
  sum.late_work += result.late_work;
  sum.late_tickets += result.late_tickets;
}

/// Runs seeds until all are done; called by each worker thread.
void RunRemainingSeeds(std::atomic<std::uint64_t>& next, std::uint64_t seeds, Totals& totals) {
  for (std::uint64_t seed = next++; seed <= seeds; seed = next++) {
    const CheckResult slots = CheckSlots(seed);
    const ShareResult shares = CheckShares(seed);
    const std::lock_guard lock(totals.mutex);
    if (slots.violations() + shares.exceeded > 0 && totals.printed < kMaxPrintedSeeds) {
      ++totals.printed;
      std::printf("violation at seed %llu\n", static_cast<unsigned long long>(seed));
    }
    AddSlots(totals.slots, slots);
    totals.shares.events += shares.events;
    totals.shares.admitted += shares.admitted;
    totals.shares.exceeded += shares.exceeded;
  }
}

void PrintRow(const char* name, std::uint64_t value) {
  std::printf("  %-32s %14llu\n", name, static_cast<unsigned long long>(value));
}

}  // namespace

std::uint64_t RunSeeds(std::uint64_t seeds, unsigned threads) {
  Totals totals;
  std::atomic<std::uint64_t> next = 1;
  std::vector<std::thread> workers;
  for (unsigned i = 0; i < threads; ++i) {
    workers.emplace_back([&] { RunRemainingSeeds(next, seeds, totals); });
  }
  for (std::thread& worker : workers) worker.join();
  std::printf("schedules\n");
  PrintRow("seeds", seeds);
  PrintRow("slot events", totals.slots.events);
  PrintRow("requests run at upstreams", totals.slots.runs);
  PrintRow("takeovers", totals.slots.takeovers);
  PrintRow("idle handovers", totals.slots.handovers);
  PrintRow("slots exceeded", totals.slots.slots_exceeded);
  PrintRow("late work at upstreams", totals.slots.late_work);
  PrintRow("late tickets", totals.slots.late_tickets);
  PrintRow("share events", totals.shares.events);
  PrintRow("share admissions", totals.shares.admitted);
  PrintRow("share window exceeded", totals.shares.exceeded);
  return totals.slots.violations() + totals.shares.exceeded;
}

}  // namespace wagtailpick::admission
