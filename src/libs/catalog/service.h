#pragma once

#include <cstdint>
#include <string>

#include "base/monotonic_time.h"

namespace wagtailpick::catalog {

/// A service that upstreams offer.
struct Service {
  std::string name;
  /// Path of the upstreams' health check.
  std::string health_path;
  /// Maximum number of connections that one upstream accepts from all callers together.
  std::uint32_t max_connections = 0;
  /// How long an upstream is cold after its start.
  base::Duration cold_start{};
  /// Requests per second that a cold upstream tolerates from all callers together.
  double cold_rate = 0;
};

/// Limits on the size and duration of requests from callers.
struct Limits {
  std::uint64_t max_header_bytes = 16UL * 1024;
  std::uint64_t max_body_bytes = 64UL * 1024 * 1024;
  /// Time from the start of a request within which its header must be complete.
  base::Duration header_timeout = std::chrono::seconds(3);
  /// Time without traffic after which a connection is closed.
  base::Duration idle_timeout = std::chrono::seconds(15);
};

}  // namespace wagtailpick::catalog
