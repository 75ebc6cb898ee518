#include "admission/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace wagtailpick::admission {
namespace {

constexpr base::Duration kBucketLength = std::chrono::milliseconds(100);
/// A retry costs what ten requests earn.
constexpr std::uint64_t kRetryCost = 10;

}  // namespace

void RetryBudget::OnRequest(base::MonotonicTime now) {
  Advance(now);
  ++recent_[static_cast<std::size_t>(newest_tenth_) % kBuckets];
  saved_ = std::min(saved_ + 1, std::max(RecentRequests(), kRetryCost));
}

bool RetryBudget::TryRetry(base::MonotonicTime now) {
  Advance(now);
  saved_ = std::min(saved_, std::max(RecentRequests(), kRetryCost));
  if (saved_ < kRetryCost) return false;
  saved_ -= kRetryCost;
  return true;
}

void RetryBudget::Advance(base::MonotonicTime now) {
  const std::int64_t tenth = now.time_since_epoch() / kBucketLength;
  if (tenth <= newest_tenth_) return;
  const std::int64_t first = std::max(newest_tenth_ + 1, tenth - std::int64_t{kBuckets} + 1);
  for (std::int64_t i = first; i <= tenth; ++i) recent_[static_cast<std::size_t>(i) % kBuckets] = 0;
  newest_tenth_ = tenth;
}

std::uint64_t RetryBudget::RecentRequests() const {
  return std::accumulate(recent_.begin(), recent_.end(), std::uint64_t{0});
}

}  // namespace wagtailpick::admission
