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
  /// Takes in a granted renewal of the session `epoch` that was sent at `sent`. `view` is null when
  /// nothing changed.
  void ApplyRenewal(std::uint64_t epoch, base::MonotonicTime sent, ViewPtr view);

  /// Tells whether requests may be served at `now`: the lease holds and a bundle is known.
  bool IsActive(base::MonotonicTime now) const;

  /// The lease as it stands.
  admission::SessionLease lease() const;

  /// Newest view; null before the first one.
  ViewPtr view() const;

 private:
  mutable std::mutex mutex_;
  admission::SessionLease lease_;
  ViewPtr view_;
};

}  // namespace wagtailpick::entry
