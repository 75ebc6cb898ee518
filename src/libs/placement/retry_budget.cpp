#include "placement/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace wagtailpick::placement {
namespace {

/// Part of the bound that is used: windows here begin in steps, and entries come and go.
constexpr double kUsedPart = 0.6;

}  // namespace

RetryBudget::Counts& RetryBudget::Advance(const std::string& service, base::MonotonicTime now) {
  auto& counts = services_[service];
  // One bucket more than the window, as the newest one is still filling.
  const auto width = bound_.window / static_cast<int>(kBuckets - 1);
  const std::int64_t present = now.time_since_epoch() / width;
  const std::int64_t steps =
      std::min<std::int64_t>(present - counts.newest, static_cast<std::int64_t>(kBuckets));
  for (std::int64_t i = 1; i <= steps; ++i) {
    const auto slot = static_cast<std::size_t>((present - steps + i) % std::int64_t{kBuckets});
    counts.requests.at(slot) = 0;
    counts.resends.at(slot) = 0;
  }
  counts.newest = std::max(counts.newest, present);
  return counts;
}

void RetryBudget::RecordRequest(const std::string& service, base::MonotonicTime now) {
  auto& counts = Advance(service, now);
  ++counts.requests.at(static_cast<std::size_t>(counts.newest % std::int64_t{kBuckets}));
}

bool RetryBudget::MayRetry(const std::string& service, base::MonotonicTime now) {
  const auto& counts = Advance(service, now);
  const auto requests = std::accumulate(counts.requests.begin(), counts.requests.end(), 0U);
  const auto resends = std::accumulate(counts.resends.begin(), counts.resends.end(), 0U);
  const double earned =
      bound_.ratio * static_cast<double>(requests) + bound_.slack / static_cast<double>(entries_);
  return static_cast<double>(resends) + 1.0 <= earned * kUsedPart;
}

bool RetryBudget::TryRetry(const std::string& service, base::MonotonicTime now) {
  if (!MayRetry(service, now)) return false;
  auto& counts = services_[service];
  ++counts.resends.at(static_cast<std::size_t>(counts.newest % std::int64_t{kBuckets}));
  return true;
}

}  // namespace wagtailpick::placement
