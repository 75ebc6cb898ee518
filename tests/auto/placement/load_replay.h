#pragma once

#include <cstddef>

namespace wagtailpick::placement_test {

/// Load of one service that the replay sends through several entries.
struct LoadPattern {
  std::size_t regions = 3;
  std::size_t entries_per_region = 3;
  std::size_t upstreams_per_region = 6;
  std::size_t objects_per_region = 57;
  std::size_t slots = 4;
  /// Objects for which an upstream stays fast.
  std::size_t kept_objects = 48;
  double requests_per_second = 280;
  /// Whether requests name their object; without it upstreams are chosen by load alone.
  bool sticky = true;
  /// Part of the upstreams that work slowly from a second before the measured time on.
  double slow_share = 0;
  /// Whether the entries tell each other what they see.
  bool shares_observations = false;
};

struct LoadResult {
  /// Of the requests of the last third.
  double served_share = 0;
  double warm_share = 0;
  double in_time_share = 0;
  /// Sent to slow upstreams.
  double slow_share = 0;
};

/// Replays 24 s of the pattern against upstreams that run, queue and remember objects.
LoadResult Replay(const LoadPattern& pattern, unsigned seed);

}  // namespace wagtailpick::placement_test
