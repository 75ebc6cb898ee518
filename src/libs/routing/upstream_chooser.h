#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "base/monotonic_time.h"
#include "routing/ids.h"
#include "routing/upstream_health.h"

namespace wagtailpick::routing {

/// The owner's view of one upstream at the time of a choice.
struct UpstreamState {
  UpstreamId id = 0;
  /// Slots that may be used now: the bundle's limit, less slow start and quarantine.
  std::uint32_t usable_slots = 0;
  std::uint32_t slots_in_use = 0;
  /// Open connections that no request uses.
  std::uint32_t idle_connections = 0;
  /// False when it drains, leaves or has been silent.
  bool accepts_work = true;
};

/// Picks the upstream for a request among those of one service in one place that this entry owns.
/// Uses what the owner saw itself: a probe would cost about 6 ms. Owned by one thread.
class UpstreamChooser {
 public:
  /// Takes the outcome of a request; may eject the upstream as an outlier.
  void Observe(UpstreamId id, const UpstreamOutcome& outcome, base::MonotonicTime now);

  /// Forgets an upstream that left.
  void Forget(UpstreamId id) { health_.erase(id); }

  /// Returns the upstream with the lowest expected time, or nothing when none has a free slot.
  /// Work that has to run alone, such as the trial of a suspect request, sets `prefer_idle`.
  std::optional<UpstreamId> Choose(std::span<const UpstreamState> upstreams,
                                   base::MonotonicTime now, bool prefer_idle = false);

  /// Free slots to report in the owner's summary; ejected upstreams offer none.
  std::uint32_t FreeSlots(std::span<const UpstreamState> upstreams, base::MonotonicTime now) const;

  /// Median over the upstreams of their average latency in microseconds; 0 when unknown.
  float MedianUpstreamLatency() const;

  /// Running median of the whole answers of all upstreams in microseconds, for the owner's summary;
  /// 0 when unknown. Unlike an average it stays low while a few requests meet cold caches.
  float MedianAnswerLatency() const { return median_us_; }

  bool Ejected(UpstreamId id, base::MonotonicTime now) const;

 private:
  float Cost(const UpstreamState& upstream, float peer_median_us, base::MonotonicTime now) const;

  std::unordered_map<UpstreamId, UpstreamHealth> health_;
  float median_us_ = 0;
};

}  // namespace wagtailpick::routing
