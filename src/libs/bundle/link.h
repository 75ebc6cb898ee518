#pragma once

#include <cstdint>
#include <string>

namespace wagtailpick::bundle {

/// The network from one region to another, in that direction.
struct Link {
  std::string from;
  std::string to;
  std::int64_t one_way_ms = 0;
  /// Capacity for all traffic, in Mbit/s.
  std::int64_t capacity_mbit_s = 0;
  /// Share of the capacity that steered requests may use.
  std::int64_t share_percent = 0;

  /// Bytes per second that steered requests may send over the link.
  std::int64_t ShareBytesPerSecond() const {
    return capacity_mbit_s * 1'000'000 / 8 * share_percent / 100;
  }
};

}  // namespace wagtailpick::bundle
