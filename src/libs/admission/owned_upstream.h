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

/// One upstream as its owner sees it: slots, quarantine, drain, slow start and ejection.
class OwnedUpstream {
 public:
  OwnedUpstream(OwnershipGrant grant, const membership::LocalTime& now);

  /// Sets the service's limits. A longer deadline prolongs a running quarantine.
  void SetLimits(const ServiceLimits& limits);

  /// Takes in the newest announcement.
  void ApplyAnnouncement(const membership::Upstream& seen, const membership::LocalTime& now);

  /// Starts or ends a drain that the bundle asks for.
  void SetDrained(bool drained, const membership::LocalTime& now);

  /// Ends new work for good, so that the upstream can be handed over idle.
  void BeginHandover(const membership::LocalTime& now);

  /// Returns why no slot can be taken now, or `kNone`.
  Refusal RefusalReason(const membership::LocalTime& now) const;

  /// Slots that can be taken now.
  std::uint32_t FreeSlots(const membership::LocalTime& now) const;

  /// Takes a slot for a request with `deadline_unix_ms`. Check `RefusalReason` first.
  std::optional<std::uint32_t> Take(std::uint64_t serial, std::int64_t deadline_unix_ms);

  /// Ends the request that holds `slot`; returns false for a stale serial.
  bool Release(std::uint32_t slot, std::uint64_t serial, SlotOutcome outcome,
               const membership::LocalTime& now);

  /// Counts an outcome for slow start and ejection. `peers` is the median latency of warm peers, 0
  /// when there is none.
  void Record(const SlotResult& result, base::Duration peers, base::MonotonicTime now);

  /// Frees the slots whose requests can't run any more.
  void Expire(const membership::LocalTime& now);

  /// True when no request of this or an earlier owner can run.
  bool Idle(const membership::LocalTime& now) const;

  /// Returns a notice once in each drain, when the upstream is idle.
  std::optional<IdleNotice> TakeIdleNotice(const membership::LocalTime& now);

  void Eject(base::MonotonicTime now) { outlier_.Eject(now); }
  bool ErrorShareTooHigh() const { return outlier_.ErrorShareTooHigh(); }
  bool ejected(base::MonotonicTime now) const { return outlier_.ejected(now); }
  bool cold() const { return slow_start_.cold(); }
  /// Median latency when the upstream is warm and has answered enough; else 0.
  base::Duration WarmMedian() const;

  const OwnershipGrant& grant() const { return grant_; }
  const SlotSet& slots() const { return slots_; }
  std::int64_t start_by_unix_ms() const { return heard_.sent_unix_ms + membership::kSilenceMs; }

 private:
  base::MonotonicTime QuarantineEnd() const;
  bool Quarantined(base::MonotonicTime now) const { return now < QuarantineEnd(); }
  bool Draining() const;
  void UpdateDrain(base::MonotonicTime now);
  void Restart(const membership::Announcement& announcement, base::MonotonicTime now);
  void UpdateReportedLoad(std::uint32_t load);

  OwnershipGrant grant_;
  base::MonotonicTime granted_;
  std::int64_t quarantine_deadline_ms_;
  std::uint32_t max_slots_ = 0;
  std::uint32_t announced_slots_ = 0;
  std::uint64_t incarnation_ = 0;
  membership::AnnouncedState state_ = membership::AnnouncedState::kUp;
  membership::LastHeard heard_;
  SlotSet slots_;
  /// Requests that the upstream reports beyond those that this entry sent.
  std::uint32_t foreign_load_ = 0;
  std::uint32_t peak_ = 0;
  std::uint32_t previous_peak_ = 0;
  bool limits_known_ = false;
  bool drained_ = false;
  bool handing_over_ = false;
  bool notice_given_ = false;
  std::optional<base::MonotonicTime> drain_started_;
  base::MonotonicTime last_freed_;
  SlowStart slow_start_;
  LatencyWindow answers_;
  base::Duration past_median_{};
  OutlierState outlier_;
};

}  // namespace wagtailpick::admission
