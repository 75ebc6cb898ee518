#pragma once

#include <cstdint>
#include <string>

#include "stops/fleet.h"

namespace wagtailpick::stops {

struct StopRunOptions {
  std::string program;
  std::uint64_t seed = 1;
  std::size_t replicas = 5;
  std::size_t entries = 6;
  std::size_t callers = 60;
  std::size_t stops = 12;
  int gap_ms = 1'500;
  Fleet::Pause pause;
  double half_close = 0;
  bool keep = false;
};

/// Plays traffic beside stops of the entries, prints what callers got, and returns the number of
/// lost requests.
int RunStops(const StopRunOptions& options);

}  // namespace wagtailpick::stops
