#pragma once

#include <cstdint>
#include <string>

#include "base/monotonic_time.h"

namespace wagtailpick::catalog {

struct Service {
  std::string name;
  std::string health_path;
  /// Connections that one upstream accepts from all callers together.
  std::uint32_t max_connections = 0;
  /// How long an upstream is cold after its start.
  base::Duration cold_start{};
  /// Requests per second that a cold upstream tolerates from all callers together.
  double cold_rate = 0;
};

/// What a caller may send, and how long it may take.
struct Limits {
  std::uint64_t max_header_bytes = 16UL * 1024;
  std::uint64_t max_body_bytes = 64UL * 1024 * 1024;
  base::Duration header_timeout = std::chrono::seconds(3);
  base::Duration idle_timeout = std::chrono::seconds(15);
};

}  // namespace wagtailpick::catalog
