#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/monotonic_time.h"

namespace wagtailpick::admission {

/// Latencies of the last answers of one upstream.
class LatencyWindow {
 public:
  static constexpr std::size_t kSize = 20;

  void Add(base::Duration latency);
  void Clear() { count_ = 0; }

  /// True when the window is full, so that its median means something.
  bool full() const { return count_ >= kSize; }

  /// Median of the latencies held; 0 when there are none.
  base::Duration Median() const;

 private:
  std::array<std::uint32_t, kSize> micros_{};
  std::uint32_t count_ = 0;
  std::uint32_t next_ = 0;
};

}  // namespace wagtailpick::admission
