#pragma once

#include <cstdint>
#include <mutex>

#include "base/monotonic_time.h"
#include "entry/view.h"

namespace wagtailpick::entry {

/// The entry's session with control: its lease and the newest view. Thread-safe.
class Session {
 public:
  /// Takes in a granted renewal that was sent at `sent`; a reply that is older than the last one is
  /// ignored. `view` is null when nothing changed.
  void Renewed(std::uint64_t epoch, base::MonotonicTime sent, base::Duration lease, ViewPtr view);

  /// Tells whether requests may be served at `now`: the lease holds and a bundle is known.
  bool IsActive(base::MonotonicTime now) const;

  std::uint64_t epoch() const;

  /// End of the lease on the local clock.
  base::MonotonicTime lease_end() const;

  /// Newest view; null before the first one.
  ViewPtr view() const;

 private:
  mutable std::mutex mutex_;
  std::uint64_t epoch_ = 0;
  base::MonotonicTime lease_end_{};
  ViewPtr view_;
};

}  // namespace wagtailpick::entry
