#pragma once

#include <cstddef>

namespace wagtailpick::placement_test {

/// Simulated load of one service that several entries place on its upstreams.
struct LoadPattern {
  std::size_t regions = 3;
  std::size_t entries_per_region = 3;
  std::size_t upstreams_per_region = 6;
  std::size_t objects_per_region = 57;
  /// Requests that an upstream runs at the same time.
  std::size_t slots = 4;
  /// Number of objects for which an upstream stays warm.
  std::size_t kept_objects = 48;
  /// Over all entries.
  double requests_per_second = 280;
  /// Whether the route is sticky; if not, upstreams are chosen without regard to objects.
  bool sticky = true;
  /// Share of the upstreams that work slowly, beginning 2 s before the measured time.
  double slow_share = 0;
  /// Whether the entries share their observations of upstreams.
  bool shares_observations = false;
};

/// Results for the requests of the last third, as shares from 0 to 1.
struct LoadResult {
  /// Requests that were answered.
  double served_share = 0;
  /// Answered requests that ran on an upstream that was warm for their object.
  double warm_share = 0;
  /// Requests that were answered within the route's objective.
  double in_time_share = 0;
  /// Requests that were sent to slow upstreams.
  double slow_share = 0;
};

/// Simulates 24 s of the pattern against upstreams with slots, queues and caches of objects.
/// Results depend only on the pattern and the seed.
LoadResult Replay(const LoadPattern& pattern, unsigned seed);

}  // namespace wagtailpick::placement_test
