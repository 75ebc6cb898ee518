#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/monotonic_time.h"

namespace wagtailpick::admission {

/// Latencies of the last `kSize` answers of one upstream.
class LatencyWindow {
 public:
  static constexpr std::size_t kSize = 20;

  /// Adds the latency of an answer; drops the oldest one when the window is full.
  void Add(base::Duration latency);
  void Clear() { count_ = 0; }

  /// True when the window holds `kSize` latencies; a median of fewer is not reliable.
  bool full() const { return count_ >= kSize; }

  /// Returns the median of the latencies in the window; 0 when it is empty.
  base::Duration Median() const;

 private:
  std::array<std::uint32_t, kSize> micros_{};
  std::uint32_t count_ = 0;
  std::uint32_t next_ = 0;
};

}  // namespace wagtailpick::admission
