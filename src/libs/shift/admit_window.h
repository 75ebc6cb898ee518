#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "base/monotonic_time.h"

namespace wagtailpick::shift {

/// Instants of the requests admitted within the last window. Exact in every window, wherever it
/// begins, as opposed to a counter that is reset once per window.
class AdmitWindow {
 public:
  static constexpr base::Duration kLength{1'000'000};

  /// Admits a request if fewer than `limit` were admitted in the window that ends now.
  bool TryAdmit(std::uint32_t limit, base::MonotonicTime now) {
    if (Count(now) >= limit) return false;
    admitted_.push_back(now);
    return true;
  }

  /// Takes back the newest admission at or before `admitted_at`, for a request that was not sent.
  void CancelAdmission(base::MonotonicTime admitted_at) {
    const auto above = std::upper_bound(admitted_.begin(), admitted_.end(), admitted_at);
    if (above != admitted_.begin()) admitted_.erase(above - 1);
  }

  /// Requests admitted in the window that ends now.
  std::size_t Count(base::MonotonicTime now) {
    while (!admitted_.empty() && admitted_.front() + kLength <= now) admitted_.pop_front();
    return admitted_.size();
  }

 private:
  std::deque<base::MonotonicTime> admitted_;
};

}  // namespace wagtailpick::shift
