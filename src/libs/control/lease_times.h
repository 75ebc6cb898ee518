#pragma once

#include "base/monotonic_time.h"

namespace wagtailpick::control {

/// Length of leases and of the window of a cap, and how far clocks may differ in rate.
struct LeaseTimes {
  base::Duration lease = std::chrono::milliseconds(2'000);
  base::Duration window = std::chrono::milliseconds(1'000);
  /// Each clock runs at most this much faster or slower than true time.
  int max_clock_drift_percent = 1;

  /// How long a holder counts on a lease, from when it sent the renewal.
  base::Duration HolderLease() const { return lease * (100 - max_clock_drift_percent) / 100; }

  /// How long the leader counts a lease as held, from when it handled the renewal.
  base::Duration LeaderLease() const { return LengthenForDrift(lease); }

  /// How far back a holder counts admitted requests: a fast clock would cut a plain window short.
  base::Duration HolderWindow() const { return LengthenForDrift(window); }

  /// How long the leader waits after the end of a lease until the holder's last admitted requests
  /// have left the window.
  base::Duration LeaderWindow() const { return LengthenForDrift(window); }

 private:
  base::Duration LengthenForDrift(base::Duration span) const {
    return span * (100 + max_clock_drift_percent) / 100;
  }
};

}  // namespace wagtailpick::control
