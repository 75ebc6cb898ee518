#pragma once

#include <algorithm>
#include <cstdint>

#include "base/monotonic_time.h"
#include "routing/ids.h"

namespace wagtailpick::routing {

/// Age up to which the free slots of a summary count in full.
inline constexpr base::Duration kFreshSummary{300'000};
/// Age from which the free slots of a summary count as 0. In between they decrease linearly.
inline constexpr base::Duration kStaleSummary{1'000'000};

/// Time without requests after which the accept rate of an owner that shed is 1 again.
inline constexpr base::Duration kAcceptRateRecovery{5'000'000};

/// One row of `SummaryTable`: the slots of one service in one data centre that one entry owns, with
/// the values that `PlaceChooser` compares.
struct OwnedPool {
  EntryId entry = 0;
  PlaceId place = 0;
  /// Owned by this entry, so that the counts are exact and their age is ignored.
  bool local = false;
  float free_slots = 0;
  float total_slots = 0;
  /// Running requests that this entry sent to the owner after its last summary.
  float forwarded_since = 0;
  /// Share of this entry's last requests that the owner did not shed, 0 to 1, at `accept_rate_at`.
  float accept_rate = 1;
  base::MonotonicTime accept_rate_at;
  /// Expected time of a request of this entry at the owner in microseconds; 0 if unknown.
  float latency_us = 0;
  /// Reported median latency of the requests of all entries in microseconds; 0 if unknown.
  float reported_us = 0;
  /// Reported share of free slots, averaged over about half a second: a data centre with few slots
  /// is full for an instant now and then at any load.
  float mean_free_share = 0;
  /// Receipt of the last summary.
  base::MonotonicTime received;

  /// Returns the accept rate at `now`. It recovers with time, so that an owner that shed gets
  /// requests again.
  float AcceptRate(base::MonotonicTime now) const {
    if (accept_rate >= 1.0F) return 1.0F;
    const auto age = static_cast<float>((now - accept_rate_at).count());
    constexpr auto kRecovery = static_cast<float>(kAcceptRateRecovery.count());
    return accept_rate + (1.0F - accept_rate) * std::clamp(age / kRecovery, 0.0F, 1.0F);
  }

  /// Returns the number of free slots that this entry can expect at `now`.
  float Free(base::MonotonicTime now) const {
    if (local) return free_slots;
    const base::Duration age = now - received;
    // The common case is kept cheap, as a choice calls this for each pool that it scans.
    if (age <= kFreshSummary) return std::max(0.0F, free_slots - forwarded_since) * AcceptRate(now);
    if (age >= kStaleSummary) return 0;
    constexpr auto kSpan = static_cast<float>((kStaleSummary - kFreshSummary).count());
    const float weight = static_cast<float>((kStaleSummary - age).count()) / kSpan;
    return std::max(0.0F, free_slots * weight - forwarded_since) * AcceptRate(now);
  }
};

}  // namespace wagtailpick::routing
