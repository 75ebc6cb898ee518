#include "admission/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace wagtailpick::admission {
namespace {

constexpr base::Duration kBucketLength = std::chrono::milliseconds(100);
/// Price of a retry in tokens; each request adds one token.
constexpr std::uint64_t kRetryCost = 10;

}  // namespace

void RetryBudget::OnRequest(base::MonotonicTime now) {
  Advance(now);
  ++requests_[static_cast<std::size_t>(newest_bucket_) % kBuckets];
  tokens_ = std::min(tokens_ + 1, std::max(RecentRequests(), kRetryCost));
}

bool RetryBudget::TryRetry(base::MonotonicTime now) {
  Advance(now);
  tokens_ = std::min(tokens_, std::max(RecentRequests(), kRetryCost));
  if (tokens_ < kRetryCost) return false;
  tokens_ -= kRetryCost;
  return true;
}

void RetryBudget::Advance(base::MonotonicTime now) {
  const std::int64_t bucket = now.time_since_epoch() / kBucketLength;
  if (bucket <= newest_bucket_) return;
  const std::int64_t first = std::max(newest_bucket_ + 1, bucket - std::int64_t{kBuckets} + 1);
  for (std::int64_t i = first; i <= bucket; ++i) {
    requests_[static_cast<std::size_t>(i) % kBuckets] = 0;
  }
  newest_bucket_ = bucket;
}

std::uint64_t RetryBudget::RecentRequests() const {
  return std::accumulate(requests_.begin(), requests_.end(), std::uint64_t{0});
}

}  // namespace wagtailpick::admission
