#include <cstdio>
#include <cstdlib>

#include "claim_world.h"

using wagtailpick::claims::Counts;
using wagtailpick::claims::Disabled;
using wagtailpick::claims::RunClaimWorld;

int main(int argc, char** argv) {
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 10000;
  const int disabled = argc > 2 ? std::atoi(argv[2]) : 0;
  for (const std::size_t replicas : {3, 5}) {
    Counts total;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
      total.Add(RunClaimWorld({seed, replicas, static_cast<Disabled>(disabled)}));
    }
    std::printf("%d replicas: seeds %lu events %lu runs %lu replays %lu not_run %lu disks %lu copies %lu | second %lu wrongnot %lu foreign %lu\n",
      (int)replicas, seeds, total.events, total.runs, total.replays, total.not_run, total.disks_lost, total.copies_done, total.second_runs, total.wrong_not_run, total.foreign_answers);
  }
}
