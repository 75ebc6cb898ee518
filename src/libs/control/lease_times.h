#pragma once

#include "base/monotonic_time.h"

namespace wagtailpick::control {

/// Durations of leases and of the window of a cap, and the assumed bound on clock drift. The holder
/// measures its durations on its clock and the leader on its own, so each adds a margin for drift.
struct LeaseTimes {
  base::Duration lease = std::chrono::milliseconds(2'000);
  base::Duration window = std::chrono::milliseconds(1'000);
  /// Maximum rate error of a clock against true time, in percent.
  int max_clock_drift_percent = 1;

  /// How long a holder treats a lease as valid, from the time when it sent the renewal.
  base::Duration HolderLease() const { return lease * (100 - max_clock_drift_percent) / 100; }

  /// How long the leader treats a lease as held, from the time when it handled the renewal.
  base::Duration LeaderLease() const { return LengthenForDrift(lease); }

  /// Length of the window over which a holder counts admitted requests. It is longer than `window`,
  /// which would be too short in true time on a fast clock.
  base::Duration HolderWindow() const { return LengthenForDrift(window); }

  /// How long after the end of a lease the leader waits, so that the requests that the holder
  /// admitted last are outside the window.
  base::Duration LeaderWindow() const { return LengthenForDrift(window); }

 private:
  base::Duration LengthenForDrift(base::Duration span) const {
    return span * (100 + max_clock_drift_percent) / 100;
  }
};

}  // namespace wagtailpick::control
