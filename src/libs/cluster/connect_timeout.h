#pragma once

#include <algorithm>

#include "base/monotonic_time.h"

namespace wagtailpick::cluster {

/// The time limit for a connection attempt. The SYN to a VM that is not up yet is lost without an
/// error and retransmitted only after 1 s, so a short limit and a new attempt connect sooner. The
/// limit doubles after each timeout, as the network may be slow.
class ConnectTimeout {
 public:
  /// Limit for the next attempt, 180 ms to 1 s.
  base::Duration current() const { return current_; }

  /// An attempt has timed out: doubles the limit.
  void RecordTimeout() { current_ = std::min(current_ * 2, kMax); }
  /// An attempt has succeeded: resets the limit.
  void RecordConnected() { current_ = kInitial; }

 private:
  /// Several round trips between regions.
  static constexpr base::Duration kInitial = std::chrono::milliseconds(180);
  static constexpr base::Duration kMax = std::chrono::milliseconds(1'000);

  base::Duration current_ = kInitial;
};

}  // namespace wagtailpick::cluster
