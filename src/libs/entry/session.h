#pragma once

#include <cstdint>
#include <mutex>

#include "admission/session_lease.h"
#include "base/monotonic_time.h"
#include "entry/view.h"

namespace wagtailpick::entry {

/// The entry's session with control: its lease and the newest view. Thread-safe.
class Session {
 public:
  /// Applies a granted renewal of the session `epoch` whose request was sent at `sent`. `view` is
  /// null if it did not change.
  void ApplyRenewal(std::uint64_t epoch, base::MonotonicTime sent, ViewPtr view);

  /// Returns whether requests may be served at `now`: the lease is valid and a bundle was received.
  bool IsActive(base::MonotonicTime now) const;

  /// Returns a copy of the lease.
  admission::SessionLease lease() const;

  /// Returns the newest view; null before the first one.
  ViewPtr view() const;

 private:
  mutable std::mutex mutex_;
  admission::SessionLease lease_;
  ViewPtr view_;
};

}  // namespace wagtailpick::entry
