#include <cstdio>
#include <cstdlib>

#include "schedule_bench.h"
#include "throughput_bench.h"

// Usage: bench_consensus [seeds]
int main(int argc, char** argv) {
  constexpr std::uint64_t kDefaultSeeds = 10'000;
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kDefaultSeeds;
  const bool clean = wagtailpick::consensus::PrintSchedules(seeds);
  wagtailpick::consensus::PrintThroughput();
  return clean ? EXIT_SUCCESS : EXIT_FAILURE;
}
