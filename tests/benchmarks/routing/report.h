#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load_model.h"

namespace wagtailpick::benchmarks {

/// Result of one run of the load model.
struct Row {
  std::string deployment;
  std::string scenario;
  routing::Policy policy = routing::Policy::kLatency;
  Strategy strategy = Strategy::kLibrary;
  RunResult result;
};

/// Runs all scenarios of both deployments with all strategies, several at a time.
std::vector<Row> RunAll(std::uint64_t seed);

/// Return the results as a Markdown table and as CSV.
std::string RenderTable(const std::vector<Row>& rows);
std::string RenderCsv(const std::vector<Row>& rows);

/// Returns a line for each run of the library that lists the goals it missed, or that it met all.
std::string RenderComparison(const std::vector<Row>& rows);

}  // namespace wagtailpick::benchmarks
