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

/// State of one upstream at the time of a choice.
struct UpstreamState {
  UpstreamId id = 0;
  /// Slots that may be used now: the limit of the bundle, reduced by slow start and quarantine.
  std::uint32_t usable_slots = 0;
  std::uint32_t slots_in_use = 0;
  /// Open connections without a request.
  std::uint32_t idle_connections = 0;
  /// False if it is draining, leaving or silent.
  bool accepts_work = true;
};

/// Chooses the upstream for a request among those of one service in one data centre that this entry
/// owns, by the outcomes of earlier requests: a probe would cost about 6 ms. Used by one thread.
class UpstreamChooser {
 public:
  /// Records the outcome of a request. Ejects the upstream as an outlier if too many of its
  /// requests failed, but never more than a third of the upstreams at a time.
  void Observe(UpstreamId id, const UpstreamOutcome& outcome, base::MonotonicTime now);

  /// Removes the records of an upstream that has left.
  void Remove(UpstreamId id) { health_.erase(id); }

  /// Returns the upstream with the lowest expected time, or nothing if none has a free slot.
  /// `prefer_idle` is set for requests that should run alone, such as the trial of a suspect
  /// request.
  std::optional<UpstreamId> Choose(std::span<const UpstreamState> upstreams,
                                   base::MonotonicTime now, bool prefer_idle = false);

  /// Returns the free slots for the owner's summary; those of ejected upstreams are not counted.
  std::uint32_t FreeSlots(std::span<const UpstreamState> upstreams, base::MonotonicTime now) const;

  /// Returns the median of the upstreams' average latencies in microseconds; 0 if unknown.
  float MedianUpstreamLatency() const;

  /// Returns the running median latency of the answers of all upstreams in microseconds, for the
  /// owner's summary; 0 if unknown. Unlike an average it stays low while a few caches are cold.
  float MedianAnswerLatency() const { return median_us_; }

  /// Returns whether an upstream is ejected at `now`.
  bool Ejected(UpstreamId id, base::MonotonicTime now) const;

 private:
  float Cost(const UpstreamState& upstream, float peer_median_us, base::MonotonicTime now) const;

  std::unordered_map<UpstreamId, UpstreamHealth> health_;
  float median_us_ = 0;
};

}  // namespace wagtailpick::routing
