#include <docopt/docopt.h>

#include <iostream>
#include <map>
#include <string>

#include "soak/soak_run.h"

namespace {

constexpr const char* kUsage = R"(soak: randomized faults against real processes on loopback.

Usage:
  soak [--seed=N] [--count=N] [--seconds=N] [--stops=N] [--entries=N] [--upstreams=N]
       [--callers=N] [--program=FILE]

Options:
  --seed=N        First seed [default: 1].
  --count=N       Seeds to run, one after the other [default: 1].
  --seconds=N     Seconds of fault injection for each seed [default: 12].
  --stops=N       Seconds of planned stops in series, after that [default: 15].
  --entries=N     Number of entries [default: 3].
  --upstreams=N   Number of upstreams [default: 6].
  --callers=N     Number of callers with long requests during the stops [default: 24].
  --program=FILE  Program to run instead of the built wagtailpick_edge.

Exit codes: 0 all promises kept, 1 a promise broken, 2 invalid arguments.
)";

}  // namespace

int main(int argc, char** argv) {
  wagtailpick::soak::SoakOptions options;
  std::uint64_t count = 1;
  try {
    auto arguments = docopt::docopt_parse(kUsage, {argv + 1, argv + argc}, true, false);
    options.seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    options.length = std::chrono::seconds(arguments.at("--seconds").asLong());
    options.stops_length = std::chrono::seconds(arguments.at("--stops").asLong());
    options.entries = static_cast<std::size_t>(arguments.at("--entries").asLong());
    options.upstreams = static_cast<std::size_t>(arguments.at("--upstreams").asLong());
    options.mixed_callers = static_cast<std::size_t>(arguments.at("--callers").asLong());
    count = static_cast<std::uint64_t>(arguments.at("--count").asLong());
    const auto& program = arguments.at("--program");
    options.program = program.isString() ? program.asString() : WAGTAILPICK_EDGE;
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "soak: " << error.what() << "\n" << kUsage;
    return 2;
  }
  bool all_kept = true;
  for (std::uint64_t i = 0; i < count; ++i, ++options.seed) {
    for (const auto& violation : wagtailpick::soak::RunSoak(options)) {
      all_kept = false;
      std::cout << "seed " << options.seed << " BROKEN: " << violation << std::endl;
    }
  }
  return all_kept ? 0 : 1;
}
