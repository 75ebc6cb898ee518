#include "placement/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace wagtailpick::placement {
namespace {

/// Share of the limit that is used. The rest allows for windows that advance by whole buckets and
/// for entries that come and go.
constexpr double kUsedShareOfLimit = 0.6;

}  // namespace

RetryBudget::Counts& RetryBudget::Advance(const std::string& service, base::MonotonicTime now) {
  auto& counts = services_[service];
  // One bucket more than the window, as the newest one is still filling.
  const auto bucket_width = limit_.window / static_cast<int>(kBuckets - 1);
  const std::int64_t current = now.time_since_epoch() / bucket_width;
  const std::int64_t steps =
      std::min<std::int64_t>(current - counts.newest_bucket, static_cast<std::int64_t>(kBuckets));
  for (std::int64_t i = 1; i <= steps; ++i) {
    const auto bucket = static_cast<std::size_t>((current - steps + i) % std::int64_t{kBuckets});
    counts.requests.at(bucket) = 0;
    counts.retries.at(bucket) = 0;
  }
  counts.newest_bucket = std::max(counts.newest_bucket, current);
  return counts;
}

void RetryBudget::RecordRequest(const std::string& service, base::MonotonicTime now) {
  auto& counts = Advance(service, now);
  ++counts.requests.at(static_cast<std::size_t>(counts.newest_bucket % std::int64_t{kBuckets}));
}

bool RetryBudget::MayRetry(const std::string& service, base::MonotonicTime now) {
  const auto& counts = Advance(service, now);
  const auto requests = std::accumulate(counts.requests.begin(), counts.requests.end(), 0U);
  const auto retries = std::accumulate(counts.retries.begin(), counts.retries.end(), 0U);
  const double slack = entry_count_ == 0 ? 0 : limit_.slack / static_cast<double>(entry_count_);
  const double earned = limit_.ratio * static_cast<double>(requests) + slack;
  return static_cast<double>(retries) + 1.0 <= earned * kUsedShareOfLimit;
}

bool RetryBudget::TryRetry(const std::string& service, base::MonotonicTime now) {
  if (!MayRetry(service, now)) return false;
  auto& counts = services_[service];
  ++counts.retries.at(static_cast<std::size_t>(counts.newest_bucket % std::int64_t{kBuckets}));
  return true;
}

}  // namespace wagtailpick::placement
