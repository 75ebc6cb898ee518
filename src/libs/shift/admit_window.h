#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "base/monotonic_time.h"

namespace wagtailpick::shift {

/// Sliding-window rate limiter that keeps the time of each admitted request. Unlike a counter that
/// is reset once per window, it keeps the limit in every window, wherever it begins.
class AdmitWindow {
 public:
  /// Length of the window: 1 s.
  static constexpr base::Duration kLength{1'000'000};

  /// Admits a request if fewer than `limit` were admitted in the window that ends at `now`; else
  /// returns false.
  bool TryAdmit(std::uint32_t limit, base::MonotonicTime now) {
    if (Count(now) >= limit) return false;
    admitted_.push_back(now);
    return true;
  }

  /// Removes the newest admission at or before `admitted_at`, because its request was not sent.
  void CancelAdmission(base::MonotonicTime admitted_at) {
    const auto above = std::upper_bound(admitted_.begin(), admitted_.end(), admitted_at);
    if (above != admitted_.begin()) admitted_.erase(above - 1);
  }

  /// Returns the number of requests admitted in the window that ends at `now`.
  std::size_t Count(base::MonotonicTime now) {
    while (!admitted_.empty() && admitted_.front() + kLength <= now) admitted_.pop_front();
    return admitted_.size();
  }

 private:
  std::deque<base::MonotonicTime> admitted_;
};

}  // namespace wagtailpick::shift
