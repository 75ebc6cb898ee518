#include "placement/cold_rate_limiter.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace wagtailpick::placement {
namespace {

/// A second of the bound, with room for requests that travel at different speeds.
constexpr base::Duration kWindow = std::chrono::milliseconds(1'150);
/// Part of the bound that is given out, so that an entry that isn't known yet doesn't break it.
constexpr double kUsedPart = 0.75;
constexpr std::size_t kMaxUpstreams = 1'024;

std::uint64_t Rank(const std::string& entry, const std::string& upstream) {
  return XXH3_64bits_withSeed(entry.data(), entry.size(),
                              XXH3_64bits(upstream.data(), upstream.size()));
}

}  // namespace

ColdRateLimiter::ColdRateLimiter(std::string self, const ColdRateLimit& bound)
    : self_(std::move(self)), bound_(bound), entries_{self_} {}

std::uint32_t ColdRateLimiter::ShareOf(const std::string& upstream,
                                       const catalog::Service& service) const {
  const double total = (service.cold_rate * bound_.factor + bound_.slack) * kUsedPart;
  const auto allowed = static_cast<std::uint32_t>(std::max(total, 1.0));
  const auto key = std::make_pair(upstream, allowed);
  const auto known = shares_.find(key);
  if (known != shares_.end()) return known->second;
  if (shares_.size() > kMaxUpstreams) shares_.clear();
  return shares_[key] = WorkOutShare(upstream, allowed);
}

std::uint32_t ColdRateLimiter::WorkOutShare(const std::string& upstream,
                                            std::uint32_t allowed) const {
  const auto entries = static_cast<std::uint32_t>(std::max<std::size_t>(entries_.size(), 1));
  const std::uint32_t each = allowed / entries;
  const std::uint32_t rest = allowed % entries;
  const auto own = Rank(self_, upstream);
  const auto ahead = std::count_if(entries_.begin(), entries_.end(), [&](const auto& entry) {
    return entry != self_ && Rank(entry, upstream) > own;
  });
  return each + (static_cast<std::uint32_t>(ahead) < rest ? 1 : 0);
}

bool ColdRateLimiter::Allows(const std::string& upstream, const catalog::Service& service,
                             base::MonotonicTime now) const {
  const std::uint32_t share = ShareOf(upstream, service);
  const auto found = recent_.find(upstream);
  if (found == recent_.end()) return share > 0;
  const auto used = std::count_if(found->second.begin(), found->second.end(),
                                  [now](auto at) { return now - at < kWindow; });
  return static_cast<std::uint32_t>(used) < share;
}

void ColdRateLimiter::Count(const std::string& upstream, base::MonotonicTime now) {
  if (recent_.size() > kMaxUpstreams) recent_.clear();
  auto& times = recent_[upstream];
  std::erase_if(times, [now](auto at) { return now - at >= kWindow; });
  times.push_back(now);
}

}  // namespace wagtailpick::placement
