#pragma once

#include <algorithm>
#include <cstdint>

#include "base/monotonic_time.h"
#include "routing/ids.h"

namespace wagtailpick::routing {

/// Age up to which a summary's free slots count in full.
inline constexpr base::Duration kFreshSummary{300'000};
/// Age from which a summary's free slots count as none.
inline constexpr base::Duration kStaleSummary{1'000'000};

/// Time after which an owner that shed is tried again in full.
inline constexpr base::Duration kAcceptRateRecovery{5'000'000};

/// One row of `SummaryTable`: the slots of one owner, as `PlaceChooser` reads them.
struct OwnedPool {
  EntryId entry = 0;
  PlaceId place = 0;
  /// Owned by this entry: the counts are exact and have no age.
  bool local = false;
  float free_slots = 0;
  float total_slots = 0;
  /// Requests that this entry sent to the owner since it made the summary and that still run.
  float forwarded_since = 0;
  /// Share of this entry's last requests that the owner took, 0 to 1, as of `accept_rate_at`.
  float accept_rate = 1;
  base::MonotonicTime accept_rate_at;
  /// What a request of this entry takes at the owner, in microseconds; 0 when unknown.
  float latency_us = 0;
  /// The owner's median over the requests of all entries, in microseconds; 0 when unknown.
  float reported_us = 0;
  /// Share of free slots as reported, averaged over about half a second: a place of few slots is
  /// full for an instant now and then at any load.
  float mean_free_share = 0;
  base::MonotonicTime received;

  /// `accept_rate` with the time that has passed: no outcome is held against an owner for good.
  float AcceptRate(base::MonotonicTime now) const {
    if (accept_rate >= 1.0F) return 1.0F;
    const auto age = static_cast<float>((now - accept_rate_at).count());
    constexpr auto kRecovery = static_cast<float>(kAcceptRateRecovery.count());
    return accept_rate + (1.0F - accept_rate) * std::clamp(age / kRecovery, 0.0F, 1.0F);
  }

  /// Free slots that this entry can count on at `now`.
  float Free(base::MonotonicTime now) const {
    if (local) return free_slots;
    const base::Duration age = now - received;
    // The usual case, kept cheap: a choice reads this for each row of a region.
    if (age <= kFreshSummary) return std::max(0.0F, free_slots - forwarded_since) * AcceptRate(now);
    if (age >= kStaleSummary) return 0;
    constexpr auto kSpan = static_cast<float>((kStaleSummary - kFreshSummary).count());
    const float weight = static_cast<float>((kStaleSummary - age).count()) / kSpan;
    return std::max(0.0F, free_slots * weight - forwarded_since) * AcceptRate(now);
  }
};

}  // namespace wagtailpick::routing
