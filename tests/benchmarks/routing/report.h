#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load_model.h"

namespace wagtailpick::benchmarks {

/// One run of the load model.
struct Row {
  std::string deployment;
  std::string scenario;
  routing::Policy policy = routing::Policy::kLatency;
  Strategy strategy = Strategy::kLibrary;
  RunResult result;
};

/// Runs all scenarios of both deployments with all ways, several at a time.
std::vector<Row> RunAll(std::uint64_t seed);

std::string RenderTable(const std::vector<Row>& rows);
std::string RenderCsv(const std::vector<Row>& rows);

/// Compares the library's rows with the aims and says where it falls short.
std::string RenderComparison(const std::vector<Row>& rows);

}  // namespace wagtailpick::benchmarks
