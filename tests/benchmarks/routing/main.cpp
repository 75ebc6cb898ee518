#include <docopt/docopt.h>
#include <fmt/format.h>

#include <cstdlib>
#include <string>

#include "report.h"
#include "timings.h"

namespace {

constexpr char kUsage[] =
    R"(Compares the routing library with simple strategies and an oracle, and times its tables.

Usage:
  bench_routing [--seed=N] [--csv] [--part=NAME]
  bench_routing --help

Options:
  --seed=N     Seed of the load model  [default: 1].
  --csv        Prints the load model's rows as CSV after the table.
  --part=NAME  Runs one part only: load, tables or schedules.
  --help       Shows this text.
)";

void RunLoad(std::uint64_t seed, bool csv) {
  const auto rows = wagtailpick::benchmarks::RunAll(seed);
  fmt::print("{}\n{}", wagtailpick::benchmarks::RenderTable(rows),
             wagtailpick::benchmarks::RenderComparison(rows));
  if (csv) fmt::print("\n{}", wagtailpick::benchmarks::RenderCsv(rows));
}

}  // namespace

int main(int argc, char** argv) {
  const auto args = docopt::docopt(kUsage, {argv + 1, argv + argc}, true, "");
  const auto seed = static_cast<std::uint64_t>(args.at("--seed").asLong());
  const std::string part = args.at("--part") ? args.at("--part").asString() : "";
  if (part.empty() || part == "load") RunLoad(seed, args.at("--csv").asBool());
  if (part.empty() || part == "tables") {
    fmt::print("{}", wagtailpick::benchmarks::RenderTimings());
  }
  if (part.empty() || part == "schedules") {
    fmt::print("{}", wagtailpick::benchmarks::RenderSchedules());
  }
  return EXIT_SUCCESS;
}
