#include "limits/entry_limits.h"

#include <algorithm>
#include <cmath>

#include "base/hash_fraction.h"

namespace wagtailpick::limits {
namespace {

/// After a limit has ended, entries stop asking for tokens over this time.
constexpr base::Duration kResumeTime = std::chrono::seconds(2);
/// Part of a limit that entries share while no replica can be reached. Entries that still reach one
/// may use the whole limit meanwhile, and an upstream tolerates one and a half times its limit.
constexpr double kSharedPartOfLimit = 0.5;
/// An entry that does not use its share within this time loses it, so that unused shares cannot add
/// up to a burst.
constexpr base::Duration kShareLifetime = std::chrono::seconds(2);
/// Requests are held back for this long if the number of entries is unknown.
constexpr base::Duration kUnknownShareDelay = std::chrono::seconds(1);

}  // namespace

double EntryLimits::PhaseOf(const std::string& upstream) const {
  return base::HashFraction(self_ + upstream);
}

const RateLimit* EntryLimits::FindBinding(const std::string& upstream, std::int64_t started_unix_ms,
                                          base::MonotonicTime now) const {
  const auto* limit = table_.Find(upstream, started_unix_ms);
  if (limit == nullptr || !limit->ended) return limit;
  return now < limit->stated_at + base::Scale(kResumeTime, PhaseOf(upstream)) ? limit : nullptr;
}

void EntryLimits::HoldBack(const std::string& upstream, bool urgent, base::MonotonicTime until) {
  auto& held_back = held_back_[upstream];
  held_back.until_other = until;
  if (urgent) held_back.until_urgent = until;
}

base::MonotonicTime EntryLimits::held_back_until(const std::string& upstream, bool urgent) const {
  const auto found = held_back_.find(upstream);
  if (found == held_back_.end()) return base::MonotonicTime::min();
  return urgent ? found->second.until_urgent : found->second.until_other;
}

// The share is one request in each interval, from a start that differs between entries.
TokenAnswer EntryLimits::TakeShare(const std::string& upstream, const RateLimit& limit,
                                   base::MonotonicTime now) {
  if (entry_count_ == 0) return {0, false, kUnknownShareDelay};
  const double rate = kSharedPartOfLimit * RequestRate(limit);
  const double interval = static_cast<double>(entry_count_) / rate;
  const double seconds = base::ToSeconds(now.time_since_epoch());
  const double since_start = std::fmod(seconds + PhaseOf(upstream) * interval, interval);
  const auto until_next = base::FromSeconds(interval - since_start);
  const auto lifetime = std::min(kShareLifetime, base::FromSeconds(interval));
  if (base::FromSeconds(since_start) > lifetime) return {0, false, until_next};
  const auto taken = share_taken_at_.find(upstream);
  if (taken != share_taken_at_.end() && now - taken->second < lifetime) {
    return {0, false, until_next};
  }
  share_taken_at_[upstream] = now;
  return {0, true, {}};
}

void EntryLimits::RemoveIf(
    const std::function<bool(const std::string& upstream, const RateLimit&)>& is_over,
    base::MonotonicTime now) {
  table_.RemoveIf(is_over);
  std::erase_if(held_back_, [now](const auto& item) {
    return std::max(item.second.until_urgent, item.second.until_other) <= now;
  });
  std::erase_if(share_taken_at_,
                [now](const auto& item) { return now - item.second > kShareLifetime; });
}

}  // namespace wagtailpick::limits
