#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/monotonic_time.h"

namespace wagtailpick::placement {

/// Bound on requests that are sent once more, summed over all entries in any window.
struct RetryLimit {
  /// Per request of the service in the window.
  double ratio = 0.2;
  /// Requests beyond that.
  double slack = 0;
  base::Duration window = std::chrono::seconds(10);
};

/// One entry's part of the bound for each service: its own requests earn the ratio, and the slack
/// is divided evenly among the entries.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryLimit& bound) : bound_(bound) {}

  void SetEntries(std::size_t entries) { entries_ = entries == 0 ? 1 : entries; }

  void RecordRequest(const std::string& service, base::MonotonicTime now);

  /// Uses up one resend if there is one left.
  bool TryRetry(const std::string& service, base::MonotonicTime now);

  bool MayRetry(const std::string& service, base::MonotonicTime now);

 private:
  static constexpr std::size_t kBuckets = 10;

  struct Counts {
    std::array<std::uint32_t, kBuckets> requests{};
    std::array<std::uint32_t, kBuckets> resends{};
    std::int64_t newest = 0;
  };

  Counts& Advance(const std::string& service, base::MonotonicTime now);

  RetryLimit bound_;
  std::size_t entries_ = 1;
  std::map<std::string, Counts> services_;
};

}  // namespace wagtailpick::placement
