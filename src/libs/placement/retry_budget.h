#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/monotonic_time.h"

namespace wagtailpick::placement {

/// Limit on the retries of a service in any window, summed over all entries: `ratio` times its
/// requests, plus `slack`.
struct RetryLimit {
  /// Retries per request.
  double ratio = 0.2;
  /// Retries that are allowed beyond the ratio, by all entries together.
  double slack = 0;
  base::Duration window = std::chrono::seconds(10);
};

/// One entry's share of the retry limit for each service: each of its own requests adds `ratio`
/// retries, and the slack is divided evenly among the entries.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryLimit& limit) : limit_(limit) {}

  /// Sets the number of all entries, this one included; 0 while it is unknown. An entry then has no
  /// share of the slack, as it may be one of many.
  void SetEntries(std::size_t entries) { entry_count_ = entries; }

  /// Counts a request on its arrival, which adds to the budget.
  void RecordRequest(const std::string& service, base::MonotonicTime now);

  /// Takes one retry from the budget; returns false if none is left.
  bool TryRetry(const std::string& service, base::MonotonicTime now);

  /// Returns whether a retry is left.
  bool MayRetry(const std::string& service, base::MonotonicTime now);

 private:
  static constexpr std::size_t kBuckets = 10;

  /// Requests and retries of one service, in a ring of buckets by time.
  struct Counts {
    std::array<std::uint32_t, kBuckets> requests{};
    std::array<std::uint32_t, kBuckets> retries{};
    /// Number of the newest bucket since the epoch of the clock.
    std::int64_t newest_bucket = 0;
  };

  /// Clears the buckets that have left the window, and returns the counts of the service.
  Counts& Advance(const std::string& service, base::MonotonicTime now);

  RetryLimit limit_;
  std::size_t entry_count_ = 0;
  std::map<std::string, Counts> services_;
};

}  // namespace wagtailpick::placement
