#include "placement/cold_rate_limiter.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace wagtailpick::placement {
namespace {

/// Share of the limit that is used. The rest is left for an entry that the others do not know yet.
constexpr double kUsedShareOfLimit = 0.75;

std::uint64_t RendezvousScore(const std::string& entry, const std::string& upstream) {
  return XXH3_64bits_withSeed(entry.data(), entry.size(),
                              XXH3_64bits(upstream.data(), upstream.size()));
}

}  // namespace

ColdRateLimiter::ColdRateLimiter(std::string self, const ColdRateLimit& limit)
    : self_(std::move(self)), limit_(limit) {}

std::uint32_t ColdRateLimiter::RequestsPerWindow(const std::string& upstream,
                                                 const catalog::Service& service,
                                                 base::MonotonicTime now) const {
  if (entries_.empty()) return 0;
  const double total = (service.cold_rate * limit_.factor + limit_.slack) * kUsedShareOfLimit;
  const auto allowed = static_cast<std::uint32_t>(std::max(total, 1.0));
  const auto* known = shares_.Find(upstream, now);
  if (known != nullptr && known->allowed == allowed) return known->own;
  ++computed_shares_;
  const std::uint32_t own = ComputeShare(upstream, allowed);
  shares_.Set(upstream, {allowed, own}, now);
  return own;
}

std::uint32_t ColdRateLimiter::ComputeShare(const std::string& upstream,
                                            std::uint32_t allowed) const {
  const auto entries = static_cast<std::uint32_t>(entries_.size());
  const std::uint32_t each = allowed / entries;
  const std::uint32_t rest = allowed % entries;
  const auto own_score = RendezvousScore(self_, upstream);
  const auto ahead = std::count_if(entries_.begin(), entries_.end(), [&](const auto& entry) {
    return entry != self_ && RendezvousScore(entry, upstream) > own_score;
  });
  return each + (static_cast<std::uint32_t>(ahead) < rest ? 1 : 0);
}

bool ColdRateLimiter::Allows(const std::string& upstream, const catalog::Service& service,
                             base::MonotonicTime now) const {
  const std::uint32_t share = RequestsPerWindow(upstream, service, now);
  const auto* times = recent_times_.Find(upstream, now);
  if (times == nullptr) return share > 0 && recent_times_.HasRoomFor(upstream, now);
  const auto used =
      std::count_if(times->begin(), times->end(), [now](auto at) { return now - at < kWindow; });
  return static_cast<std::uint32_t>(used) < share;
}

void ColdRateLimiter::RecordRequest(const std::string& upstream, base::MonotonicTime now) {
  const auto* known = recent_times_.Find(upstream, now);
  auto times = known == nullptr ? std::vector<base::MonotonicTime>() : *known;
  std::erase_if(times, [now](auto at) { return now - at >= kWindow; });
  times.push_back(now);
  recent_times_.Set(upstream, std::move(times), now);
}

}  // namespace wagtailpick::placement
