#include <docopt/docopt.h>

#include <iostream>
#include <map>

#include "stops/stop_run.h"

namespace {

constexpr const char* kUsage = R"(bench_stops: requests without an answer around stops of entries.

Usage:
  bench_stops [options]

Options:
  --program=FILE       Program to run instead of the built wagtailpick_edge.
  --seed=N             First seed [default: 1].
  --runs=N             Seeds to run, one after the other [default: 1].
  --stops=N            Stops in each run [default: 12].
  --entries=N          Entries [default: 6].
  --callers=N          Callers [default: 60].
  --gap-ms=N           Mean time between two stops [default: 1500].
  --pause-ms=N         Time for which each stopped entry stands still [default: 0].
  --pause-start-ms=N   Time from SIGTERM until it stands still [default: 0].
  --half-close=PERCENT  Requests after which callers close their sending side [default: 0].
  --keep               Keep the logs of runs with lost requests.

Exit codes: 0 no request was lost, 1 requests were lost, 2 invalid arguments.
)";

constexpr double kPercent = 0.01;

}  // namespace

int main(int argc, char** argv) {
  wagtailpick::stops::StopRunOptions options;
  long runs = 1;
  try {
    auto arguments = docopt::docopt_parse(kUsage, {argv + 1, argv + argc}, true, false);
    const auto number = [&](const char* name) { return arguments.at(name).asLong(); };
    options.seed = static_cast<std::uint64_t>(number("--seed"));
    options.stops = static_cast<std::size_t>(number("--stops"));
    options.entries = static_cast<std::size_t>(number("--entries"));
    options.callers = static_cast<std::size_t>(number("--callers"));
    options.gap_ms = static_cast<int>(number("--gap-ms"));
    options.pause.length = std::chrono::milliseconds(number("--pause-ms"));
    options.pause.start = std::chrono::milliseconds(number("--pause-start-ms"));
    options.half_close = kPercent * static_cast<double>(number("--half-close"));
    options.keep = arguments.at("--keep").asBool();
    runs = number("--runs");
    const auto& program = arguments.at("--program");
    options.program = program.isString() ? program.asString() : WAGTAILPICK_EDGE;
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "bench_stops: " << error.what() << "\n" << kUsage;
    return 2;
  }
  int lost = 0;
  for (long i = 0; i < runs; ++i, ++options.seed) lost += wagtailpick::stops::RunStops(options);
  return lost == 0 ? 0 : 1;
}
