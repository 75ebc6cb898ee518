#include "limits/token_issuer.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::limits {
namespace {

/// A bucket holds at most the tokens of this time, but not fewer than `kMinCapacity`. Together with
/// the named rate, such a burst stays well within what an upstream tolerates in 4 s.
constexpr double kCapacitySeconds = 0.5;
constexpr double kMinCapacity = 3;
/// Tokens that only urgent requests may take.
constexpr double kUrgentReserve = 1;
/// A bucket's level after many charges from other replicas; a lower one would stop the upstream's
/// work for longer than the charges justify.
constexpr double kMinTokens = -10;
/// After a limit has ended, the entries that still ask for tokens get this many times its rate.
constexpr double kRateFactorAfterEnd = 4;

double RateOf(const RateLimit& limit) {
  return limit.ended ? RequestRate(limit) * kRateFactorAfterEnd : RequestRate(limit);
}

double CapacityOf(double rate) { return std::max(rate * kCapacitySeconds, kMinCapacity); }

}  // namespace

TokenIssuer::Bucket& TokenIssuer::Refill(const std::string& upstream, std::int64_t started_unix_ms,
                                         const RateLimit* limit, base::MonotonicTime now) {
  auto [found, is_new] = buckets_.try_emplace(upstream);
  auto& bucket = found->second;
  if (is_new || bucket.started_unix_ms < started_unix_ms) bucket = {started_unix_ms, 0, 0, now};
  const auto elapsed = base::ToSeconds(now - bucket.refilled_at);
  bucket.level =
      std::min(bucket.level + bucket.rate * std::max(elapsed, 0.0), CapacityOf(bucket.rate));
  bucket.refilled_at = now;
  if (limit != nullptr) bucket.rate = RateOf(*limit);
  return bucket;
}

TokenAnswer TokenIssuer::Issue(const std::string& upstream, const RateLimit& limit, bool urgent,
                               base::MonotonicTime now) {
  auto& bucket = Refill(upstream, limit.started_unix_ms, &limit, now);
  const double needed = urgent ? 1 : 1 + kUrgentReserve;
  if (bucket.level < needed) {
    return {0, false, base::FromSeconds((needed - bucket.level) / bucket.rate)};
  }
  bucket.level -= 1;
  auto& issued = issued_[upstream];
  if (issued.started_unix_ms != limit.started_unix_ms) {
    issued = {upstream, limit.started_unix_ms, 0};
  }
  ++issued.count;
  return {0, true, {}};
}

void TokenIssuer::Charge(const IssuedTokens& issued, const RateLimit* limit,
                         base::MonotonicTime now) {
  auto& bucket = Refill(issued.upstream, issued.started_unix_ms, limit, now);
  if (bucket.started_unix_ms != issued.started_unix_ms) return;
  bucket.level = std::max(bucket.level - static_cast<double>(issued.count), kMinTokens);
}

std::vector<IssuedTokens> TokenIssuer::ConsumeIssued() {
  std::vector<IssuedTokens> list;
  for (auto& [upstream, issued] : std::exchange(issued_, {})) list.push_back(std::move(issued));
  return list;
}

void TokenIssuer::RemoveIf(const std::function<bool(const std::string& upstream)>& is_unlimited) {
  std::erase_if(buckets_, [&](const auto& item) { return is_unlimited(item.first); });
}

}  // namespace wagtailpick::limits
