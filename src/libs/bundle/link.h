#pragma once

#include <cstdint>
#include <string>

namespace wagtailpick::bundle {

/// Network link from one region to another, in that direction only.
struct Link {
  std::string from;
  std::string to;
  /// One-way latency in milliseconds.
  std::int64_t one_way_ms = 0;
  /// Capacity for all traffic, in Mbit/s.
  std::int64_t capacity_mbit_s = 0;
  /// Percentage of the capacity that steered requests may use.
  std::int64_t share_percent = 0;

  /// Returns the bytes per second that steered requests may send over the link.
  std::int64_t ShareBytesPerSecond() const {
    return capacity_mbit_s * 1'000'000 / 8 * share_percent / 100;
  }
};

}  // namespace wagtailpick::bundle
