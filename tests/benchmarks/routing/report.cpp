#include "report.h"

#include <fmt/format.h>

#include <algorithm>
#include <future>

namespace wagtailpick::benchmarks {
namespace {

constexpr std::size_t kParallelRuns = 5;
// Smaller differences are noise between equally good strategies.
constexpr double kNoise = 0.02;
constexpr double kRefusedNoise = 0.002;
constexpr double kHeadroomNoise = 0.005;
// Tolerated excess of unserved requests over the oracle; above it, the latency of the served ones
// is not comparable.
constexpr double kUnservedMargin = 0.01;

bool SameCase(const Row& left, const Row& right) {
  return left.deployment == right.deployment && left.scenario == right.scenario;
}

const Row* Find(const std::vector<Row>& rows, const Row& like, Strategy strategy) {
  const auto found = std::find_if(rows.begin(), rows.end(), [&](const Row& row) {
    return SameCase(row, like) && row.strategy == strategy;
  });
  return found == rows.end() ? nullptr : &*found;
}

const Row* FindScenario(const std::vector<Row>& rows, const Row& like, const char* scenario) {
  const auto found = std::find_if(rows.begin(), rows.end(), [&](const Row& row) {
    return row.deployment == like.deployment && row.strategy == like.strategy &&
           row.scenario == scenario;
  });
  return found == rows.end() ? nullptr : &*found;
}

double UnservedShare(const Row& row) { return row.result.refused + row.result.failed; }

// A baseline is only better if it does not serve fewer requests.
bool IsBetter(const Row& other, const Row& library) {
  if (UnservedShare(other) > UnservedShare(library) + kRefusedNoise) return false;
  if (library.policy == routing::Policy::kLatency) {
    return other.result.p99_ms < library.result.p99_ms * (1 - kNoise) ||
           other.result.p50_ms < library.result.p50_ms * (1 - kNoise);
  }
  return other.result.least_headroom > library.result.least_headroom + kHeadroomNoise;
}

std::string DescribeShortfalls(const std::vector<Row>& rows, const Row& library) {
  std::string text;
  const Row* oracle = Find(rows, library, Strategy::kOracle);
  const double ratio = library.result.p99_ms / oracle->result.p99_ms;
  if (ratio > 1.1) text += fmt::format(" p99 {:.2f} x oracle;", ratio);
  for (const Strategy strategy :
       {Strategy::kRandom, Strategy::kRoundRobin, Strategy::kLeastLoaded}) {
    const Row* other = Find(rows, library, strategy);
    if (IsBetter(*other, library)) text += fmt::format(" {} is better;", ToString(strategy));
  }
  if (UnservedShare(library) > UnservedShare(*oracle) + kUnservedMargin) {
    text += fmt::format(" unserved {:.1f}% (oracle {:.1f}%);", 100 * UnservedShare(library),
                        100 * UnservedShare(*oracle));
  }
  if (library.result.max_shift_share > 1) text += " shift cap exceeded;";
  if (library.scenario == "retry storm at 2x") {
    const Row* full = FindScenario(rows, library, "at capacity");
    const double goodput = library.result.goodput_per_s / full->result.goodput_per_s;
    text += fmt::format(" goodput {:.2f} x that at capacity;", goodput);
  }
  return text.empty() ? " aims met" : text;
}

}  // namespace

std::vector<Row> RunAll(std::uint64_t seed) {
  static const std::vector<Deployment> deployments{MantaAlta(), Peachtree()};
  static const std::vector<Scenario> scenarios = AllScenarios();
  std::vector<Row> rows;
  std::vector<std::future<RunResult>> running;
  std::size_t collected = 0;
  const auto collect = [&] {
    rows[collected].result = running[collected].get();
    ++collected;
  };
  for (const auto& deployment : deployments) {
    for (const auto& scenario : scenarios) {
      for (const Strategy strategy : {Strategy::kLibrary, Strategy::kRandom, Strategy::kRoundRobin,
                                      Strategy::kLeastLoaded, Strategy::kOracle}) {
        if (running.size() - collected >= kParallelRuns) collect();
        rows.push_back({deployment.name, scenario.name, deployment.policy, strategy, {}});
        running.push_back(std::async(std::launch::async, [&deployment, &scenario, strategy, seed] {
          return LoadModel(deployment, scenario, strategy, seed).Run();
        }));
      }
    }
  }
  while (collected < running.size()) collect();
  return rows;
}

std::string RenderTable(const std::vector<Row>& rows) {
  std::string text =
      "| deployment | scenario | way | p50 ms | p99 ms | headroom | refused | failed | goodput/s "
      "| shift/cap | drain ms |\n|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const Row& row : rows) {
    const RunResult& result = row.result;
    const auto drain = result.drain_ms < 0 ? "-" : fmt::format("{:.0f}", result.drain_ms);
    text += fmt::format(
        "| {} | {} | {} | {:.1f} | {:.1f} | {:.1f}% | {:.2f}% | {:.2f}% | {:.0f} | {:.2f} | {} |\n",
        row.deployment, row.scenario, ToString(row.strategy), result.p50_ms, result.p99_ms,
        100 * result.least_headroom, 100 * result.refused, 100 * result.failed,
        result.goodput_per_s, result.max_shift_share, drain);
  }
  return text;
}

std::string RenderCsv(const std::vector<Row>& rows) {
  std::string text =
      "deployment,scenario,way,p50_ms,p99_ms,refused,failed,goodput_per_s,shift_per_cap,drain_ms";
  for (std::size_t place = 0; place < kPlaces; ++place) text += fmt::format(",headroom_{}", place);
  text += '\n';
  for (const Row& row : rows) {
    const RunResult& result = row.result;
    text += fmt::format("{},{},{},{:.3f},{:.3f},{:.5f},{:.5f},{:.1f},{:.3f},{:.0f}", row.deployment,
                        row.scenario, ToString(row.strategy), result.p50_ms, result.p99_ms,
                        result.refused, result.failed, result.goodput_per_s, result.max_shift_share,
                        result.drain_ms);
    for (const double headroom : result.headroom) text += fmt::format(",{:.4f}", headroom);
    text += '\n';
  }
  return text;
}

std::string RenderComparison(const std::vector<Row>& rows) {
  std::string text;
  for (const Row& row : rows) {
    if (row.strategy != Strategy::kLibrary) continue;
    text += fmt::format("{}, {}:{}\n", row.deployment, row.scenario, DescribeShortfalls(rows, row));
  }
  return text;
}

}  // namespace wagtailpick::benchmarks
