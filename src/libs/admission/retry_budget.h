#pragma once

#include <array>
#include <cstdint>

#include "base/monotonic_time.h"

namespace wagtailpick::admission {

/// Limits second tries to 10% of the requests. Each request earns a tenth of a retry. What is saved
/// up is at most a tenth of the last second's requests, at least one retry, so that idle or calm
/// time doesn't save up a storm.
class RetryBudget {
 public:
  /// Counts a first try.
  void OnRequest(base::MonotonicTime now);

  /// Returns true, and uses up one retry, when the budget has one.
  bool TryRetry(base::MonotonicTime now);

 private:
  static constexpr std::size_t kBuckets = 10;

  void Advance(base::MonotonicTime now);
  std::uint64_t RecentRequests() const;

  /// Requests in each of the last tenths of a second.
  std::array<std::uint32_t, kBuckets> recent_{};
  std::int64_t newest_tenth_ = 0;
  /// In tenths of a retry.
  std::uint64_t saved_ = 0;
};

}  // namespace wagtailpick::admission
