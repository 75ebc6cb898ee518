#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/monotonic_time.h"

namespace wagtailpick::catalog {

/// A service that takes a share of a route's requests.
struct RouteTarget {
  std::string service;
  std::uint32_t weight = 1;

  friend bool operator==(const RouteTarget&, const RouteTarget&) = default;
};

/// Where the requests of a host with a path prefix go, and how they may be treated.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  /// Whether a request may run more than once.
  bool idempotent = false;
  /// The longest time that a request may wait for its answer.
  base::Duration timeout{};
  /// The time within which an answer is worth most.
  base::Duration objective{};
  /// Upstreams to which one request may be sent at most.
  std::uint32_t attempts = 1;
  /// 0 is the highest.
  std::uint32_t priority = 0;
  /// Upstreams that have lately handled the same object are faster.
  bool sticky = false;
  std::vector<RouteTarget> targets;
  /// Regions whose upstreams may serve it; empty for all.
  std::vector<std::string> home_regions;

  friend bool operator==(const Route&, const Route&) = default;
};

}  // namespace wagtailpick::catalog
