#pragma once

#include <array>
#include <cstdint>

#include "base/monotonic_time.h"

namespace wagtailpick::admission {

/// Limits retries to 10% of the requests. Each request adds a tenth of a retry to the budget. The
/// budget holds at most a tenth of the requests of the last second, and at least one retry, so that
/// a quiet period does not accumulate a burst of retries.
class RetryBudget {
 public:
  /// Counts the first attempt of a request.
  void OnRequest(base::MonotonicTime now);

  /// Takes one retry from the budget; returns false when there is none.
  bool TryRetry(base::MonotonicTime now);

 private:
  static constexpr std::size_t kBuckets = 10;

  void Advance(base::MonotonicTime now);
  std::uint64_t RecentRequests() const;

  /// Requests per bucket of 100 ms; a ring over the last second.
  std::array<std::uint32_t, kBuckets> requests_{};
  /// Number of the newest bucket, counted from the epoch of the monotonic clock.
  std::int64_t newest_bucket_ = 0;
  /// Remaining budget in tenths of a retry.
  std::uint64_t tokens_ = 0;
};

}  // namespace wagtailpick::admission
