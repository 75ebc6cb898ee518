#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "soak/deployment.h"
#include "soak/promise_checker.h"
#include "soak/standin_service.h"
#include "soak/stop_checker.h"

namespace wagtailpick::soak {

struct SoakOptions {
  /// Path of the program of both roles.
  std::string program;
  std::uint64_t seed = 1;
  /// Time during which faults are injected.
  base::Duration length = std::chrono::seconds(12);
  /// Time during which processes are stopped in series, after that.
  base::Duration stops_length = std::chrono::seconds(15);
  std::size_t replicas = 3;
  std::size_t entries = 3;
  std::size_t upstreams = 6;
  std::size_t callers = 4;
  /// Callers with long requests during the stops.
  std::size_t mixed_callers = 24;
};

/// Runs one seed: starts all processes, injects faults for `options.length`, lets the system
/// recover, stops processes in series and checks the promises. Prints two summary lines. Returns
/// one message for each broken promise.
std::vector<std::string> RunSoak(const SoakOptions& options);

}  // namespace wagtailpick::soak
