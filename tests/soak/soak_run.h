#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "soak/deployment.h"
#include "soak/ledger.h"
#include "soak/standin_service.h"

namespace wagtailpick::soak {

struct SoakOptions {
  std::string program;
  std::uint64_t seed = 1;
  base::Duration length = std::chrono::seconds(12);
  std::size_t replicas = 3;
  std::size_t entries = 3;
  std::size_t upstreams = 6;
  std::size_t callers = 4;
};

/// Runs one seed: starts all, strikes with faults for the given time, lets the system recover, and
/// checks the promises. Returns what was broken; prints a summary line.
std::vector<std::string> RunSoak(const SoakOptions& options);

}  // namespace wagtailpick::soak
