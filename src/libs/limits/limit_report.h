#pragma once

#include <cstdint>
#include <string>

#include "base/monotonic_time.h"

namespace wagtailpick::limits {

/// What an answer of an upstream stated about its rate limit. Entries and replicas exchange these
/// reports.
struct LimitReport {
  /// ID of the upstream.
  std::string upstream;
  /// Start of the upstream's run, in milliseconds since the Unix epoch.
  std::int64_t started_unix_ms = 0;
  /// Requests per second that the upstream accepts from all entries together. With `ended`, the
  /// limit that was in force before.
  double requests_per_second = 0;
  /// The upstream no longer names a limit.
  bool ended = false;
  /// Time since the upstream stated this.
  base::Duration age{};
};

}  // namespace wagtailpick::limits
