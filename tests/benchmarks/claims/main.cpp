#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>

#include "seed_table.h"
#include "store_size.h"

// Usage: bench_claims [SEEDS]. The exit code is 1 if a simulation violated a guarantee.
int main(int argc, char** argv) {
  constexpr std::uint64_t kDefaultSeeds = 10'000;
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kDefaultSeeds;
  wagtailpick::claims::PrintStoreTable();
  const std::uint64_t violations =
      wagtailpick::claims::PrintSeedTable(std::max<std::uint64_t>(seeds, 1));
  return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
