#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "admission/latency_window.h"
#include "admission/outlier_state.h"
#include "admission/ownership_grant.h"
#include "admission/pool.h"
#include "admission/refusal.h"
#include "admission/service_limits.h"
#include "admission/slot_outcome.h"
#include "admission/slot_set.h"
#include "admission/slow_start.h"
#include "membership/upstream.h"

namespace wagtailpick::admission {

/// State of one upstream at the entry that owns it: slots, quarantine, drain, slow start and
/// ejection.
class OwnedUpstream {
 public:
  /// Starts the ownership under `grant` at `now`, with a quarantine and a slow start if the grant
  /// asks for them. There are no slots until the limits are set and an announcement was applied.
  OwnedUpstream(OwnershipGrant grant, const membership::LocalTime& now);

  /// Sets the limits of the service. A longer deadline extends a quarantine that has not ended.
  void SetLimits(const ServiceLimits& limits);

  /// Applies the newest announcement of the upstream. A new incarnation means that it restarted.
  void ApplyAnnouncement(const membership::Upstream& seen, const membership::LocalTime& now);

  /// Starts or ends a drain that is set in the bundle.
  void SetDrained(bool drained, const membership::LocalTime& now);

  /// Stops new requests permanently, so that the upstream becomes idle and can be handed over.
  void BeginHandover(const membership::LocalTime& now);

  /// Returns why no slot can be acquired now, or `kNone` if one can.
  Refusal RefusalReason(const membership::LocalTime& now) const;

  /// Returns the number of slots that can be acquired now.
  std::uint32_t FreeSlots(const membership::LocalTime& now) const;

  /// Takes a slot for the request `serial` and returns its index, or nothing when all are taken.
  /// Ignores quarantine, drain and the like; check `RefusalReason` first.
  std::optional<std::uint32_t> Acquire(std::uint64_t serial, std::int64_t deadline_unix_ms);

  /// Ends the request `serial` that holds `slot`. Returns false and changes nothing when it no
  /// longer holds the slot.
  bool Release(std::uint32_t slot, std::uint64_t serial, SlotOutcome outcome,
               const membership::LocalTime& now);

  /// Records the result of a request for slow start and ejection. `peer_median` is the median
  /// latency of the other warm upstreams of the pool, 0 when there are none.
  void Record(const SlotResult& result, base::Duration peer_median, base::MonotonicTime now);

  /// Frees the slots whose requests can no longer run because their deadline has passed.
  void Expire(const membership::LocalTime& now);

  /// True when no request of this or an earlier owner can still run.
  bool IsIdle(const membership::LocalTime& now) const;

  /// Returns a notice when the upstream drains and is idle, once per drain.
  std::optional<IdleNotice> ConsumeIdleNotice(const membership::LocalTime& now);

  void Eject(base::MonotonicTime now) { outlier_.Eject(now); }
  bool ErrorShareTooHigh() const { return outlier_.ErrorShareTooHigh(); }
  bool ejected(base::MonotonicTime now) const { return outlier_.ejected(now); }
  bool cold() const { return slow_start_.cold(); }
  /// Returns the median latency if the upstream is warm and its latency window is full; else 0.
  base::Duration WarmMedian() const;

  const OwnershipGrant& grant() const { return grant_; }
  const SlotSet& slots() const { return slots_; }
  /// Latest time, on the upstream's wall clock, at which a request may start there: until then its
  /// newest announcement is in force.
  std::int64_t start_by_unix_ms() const {
    return last_seen_.sent_unix_ms + membership::kSilenceTimeoutMs;
  }

 private:
  base::MonotonicTime QuarantineEnd() const;
  bool IsQuarantined(base::MonotonicTime now) const { return now < QuarantineEnd(); }
  bool IsDraining() const;
  /// Sets or clears `drain_started_` after a change of what `IsDraining` depends on.
  void UpdateDrain(base::MonotonicTime now);
  void HandleNewIncarnation(const membership::Announcement& announcement, base::MonotonicTime now);
  void UpdateReportedLoad(std::uint32_t load);

  OwnershipGrant grant_;
  base::MonotonicTime granted_at_;
  /// Longest deadline of a request that an earlier owner may have sent.
  std::int64_t quarantine_deadline_ms_;
  std::uint32_t max_slots_ = 0;
  std::uint32_t announced_slots_ = 0;
  std::uint64_t incarnation_ = 0;
  membership::AnnouncedState state_ = membership::AnnouncedState::kUp;
  membership::LastSeen last_seen_;
  SlotSet slots_;
  /// Requests that the upstream reports as running beyond those that this entry sent.
  std::uint32_t external_load_ = 0;
  /// Most slots taken at a time since the newest announcement, and in the interval before it.
  std::uint32_t peak_taken_ = 0;
  std::uint32_t previous_peak_taken_ = 0;
  bool limits_known_ = false;
  /// Drained by the bundle.
  bool drained_ = false;
  bool handing_over_ = false;
  /// True when the notice of the current drain was returned.
  bool idle_notice_consumed_ = false;
  std::optional<base::MonotonicTime> drain_started_;
  base::MonotonicTime last_freed_;
  SlowStart slow_start_;
  LatencyWindow latencies_;
  /// Warm median latency of an earlier incarnation; 0 when unknown.
  base::Duration past_median_{};
  OutlierState outlier_;
};

}  // namespace wagtailpick::admission
