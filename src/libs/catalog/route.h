#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/monotonic_time.h"

namespace wagtailpick::catalog {

/// A service that receives a share of a route's requests.
struct RouteTarget {
  std::string service;
  /// The service's share is its weight divided by the sum of all weights of the route.
  std::uint32_t weight = 1;

  friend bool operator==(const RouteTarget&, const RouteTarget&) = default;
};

/// Routes of this priority and of smaller numbers are urgent.
inline constexpr std::uint32_t kLeastUrgentPriority = 1;

/// Where requests for a host and path prefix are sent, and under which rules.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  /// Whether a request may run more than once.
  bool idempotent = false;
  /// Time from the arrival of a request after which it is answered with an error.
  base::Duration timeout{};
  /// Target for the time to the answer; a later answer is worth less.
  base::Duration objective{};
  /// Maximum number of attempts for one request.
  std::uint32_t attempts = 1;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Whether requests for an object prefer the same upstreams, which handle it faster.
  bool sticky = false;
  std::vector<RouteTarget> targets;
  /// Regions whose upstreams may serve the route; empty for all.
  std::vector<std::string> home_regions;

  /// Whether the route's requests go before others where there is not room for all.
  bool is_urgent() const { return priority <= kLeastUrgentPriority; }

  friend bool operator==(const Route&, const Route&) = default;
};

}  // namespace wagtailpick::catalog
