#include "admission/owned_upstream.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "admission/session_lease.h"

namespace wagtailpick::admission {
namespace {

/// Longest deadline that a bundle may set; assumed while the deadline of the service is unknown.
constexpr std::int64_t kLongestBundleDeadlineMs = 10'000;

}  // namespace

OwnedUpstream::OwnedUpstream(OwnershipGrant grant, const membership::LocalTime& now)
    : grant_(std::move(grant)),
      granted_at_(now.monotonic),
      quarantine_deadline_ms_(kLongestBundleDeadlineMs),
      last_freed_(now.monotonic) {
  slow_start_.Restart(now.monotonic);
  if (grant_.warm) slow_start_.MarkWarm();
}

void OwnedUpstream::SetLimits(const ServiceLimits& limits) {
  quarantine_deadline_ms_ = limits_known_
                                ? std::max(quarantine_deadline_ms_, limits.longest_deadline_ms)
                                : limits.longest_deadline_ms;
  limits_known_ = true;
  max_slots_ = limits.max_slots;
  slots_.Resize(std::min(max_slots_, announced_slots_));
}

void OwnedUpstream::ApplyAnnouncement(const membership::Upstream& seen,
                                      const membership::LocalTime& now) {
  const membership::Announcement& announcement = seen.announcement;
  if (announcement.incarnation() != incarnation_) HandleNewIncarnation(announcement, now.monotonic);
  grant_.service = announcement.service();
  grant_.place = announcement.place();
  last_seen_ = seen.last_seen;
  state_ = announcement.state();
  announced_slots_ = announcement.slots();
  slots_.Resize(std::min(max_slots_, announced_slots_));
  UpdateReportedLoad(announcement.load());
  UpdateDrain(now.monotonic);
}

void OwnedUpstream::HandleNewIncarnation(const membership::Announcement& announcement,
                                         base::MonotonicTime now) {
  const bool first = incarnation_ == 0;
  incarnation_ = announcement.incarnation();
  if (first) return;
  // Slots taken under the old incarnation stay taken and a quarantine continues: a request whose
  // sender was paused before sending it can reach the new process until its deadline.
  slots_.StartGeneration();
  if (const base::Duration median = WarmMedian(); median.count() > 0) past_median_ = median;
  latencies_.Clear();
  slow_start_.Restart(now);
  outlier_ = {};
}

void OwnedUpstream::UpdateReportedLoad(std::uint32_t load) {
  // The report is some milliseconds old. It is therefore compared with the peak since the previous
  // announcement and the one before.
  const std::uint32_t own_load = std::max(peak_taken_, previous_peak_taken_);
  external_load_ = load > own_load ? load - own_load : 0;
  previous_peak_taken_ = peak_taken_;
  peak_taken_ = slots_.taken();
}

void OwnedUpstream::SetDrained(bool drained, const membership::LocalTime& now) {
  drained_ = drained;
  UpdateDrain(now.monotonic);
}

void OwnedUpstream::BeginHandover(const membership::LocalTime& now) {
  handing_over_ = true;
  UpdateDrain(now.monotonic);
}

bool OwnedUpstream::IsDraining() const {
  return state_ != membership::AnnouncedState::kUp || drained_ || handing_over_;
}

void OwnedUpstream::UpdateDrain(base::MonotonicTime now) {
  if (IsDraining() == drain_started_.has_value()) return;
  drain_started_ = IsDraining() ? std::optional(now) : std::nullopt;
  idle_notice_consumed_ = false;
}

base::MonotonicTime OwnedUpstream::QuarantineEnd() const {
  if (!grant_.quarantine) return granted_at_;
  const std::chrono::milliseconds wait(quarantine_deadline_ms_ + membership::kMaxWallClockSkewMs);
  // Without the allowance for drift, 1% of a 10 s deadline would use up the margin for the
  // difference of the wall clocks.
  return granted_at_ + LengthenForDrift(wait);
}

Refusal OwnedUpstream::RefusalReason(const membership::LocalTime& now) const {
  if (IsQuarantined(now.monotonic)) return Refusal::kQuarantine;
  if (IsDraining()) return Refusal::kDraining;
  if (incarnation_ == 0 || !last_seen_.IsFresh(now)) return Refusal::kSilent;
  if (ejected(now.monotonic)) return Refusal::kEjected;
  return FreeSlots(now) > 0 ? Refusal::kNone : Refusal::kNoFreeSlot;
}

std::uint32_t OwnedUpstream::FreeSlots(const membership::LocalTime& now) const {
  if (IsQuarantined(now.monotonic) || IsDraining() || incarnation_ == 0 ||
      !last_seen_.IsFresh(now) || ejected(now.monotonic)) {
    return 0;
  }
  const std::uint32_t count = slots_.count();
  const std::uint32_t all_taken = slots_.taken() + external_load_;
  const std::uint32_t usable = slow_start_.UsableSlots(count);
  const std::uint32_t usable_taken = slots_.taken_in_generation();
  if (all_taken >= count || usable_taken >= usable) return 0;
  return std::min(count - all_taken, usable - usable_taken);
}

std::optional<std::uint32_t> OwnedUpstream::Acquire(std::uint64_t serial,
                                                    std::int64_t deadline_unix_ms) {
  const auto slot = slots_.Acquire(serial, deadline_unix_ms + membership::kMaxWallClockSkewMs);
  peak_taken_ = std::max(peak_taken_, slots_.taken());
  return slot;
}

bool OwnedUpstream::Release(std::uint32_t slot, std::uint64_t serial, SlotOutcome outcome,
                            const membership::LocalTime& now) {
  if (LeavesSlotInDoubt(outcome)) return slots_.MarkInDoubt(slot, serial);
  if (!slots_.Free(slot, serial)) return false;
  last_freed_ = now.monotonic;
  return true;
}

void OwnedUpstream::Record(const SlotResult& result, base::Duration peer_median,
                           base::MonotonicTime now) {
  if (IsUpstreamError(result.outcome)) {
    slow_start_.OnError(now);
    outlier_.Record(true);
  }
  if (result.outcome != SlotOutcome::kAnswered) return;
  outlier_.Record(false);
  const base::Duration reference = peer_median.count() > 0 ? peer_median : past_median_;
  slow_start_.OnAnswer(result.latency, reference, slots_.count(), now);
  latencies_.Add(result.latency);
}

base::Duration OwnedUpstream::WarmMedian() const {
  return !cold() && latencies_.full() ? latencies_.Median() : base::Duration{};
}

void OwnedUpstream::Expire(const membership::LocalTime& now) {
  const std::uint32_t before = slots_.taken();
  slots_.Expire(now.wall_ms);
  if (slots_.taken() < before) last_freed_ = now.monotonic;
}

bool OwnedUpstream::IsIdle(const membership::LocalTime& now) const {
  return slots_.taken() == 0 && !IsQuarantined(now.monotonic);
}

std::optional<IdleNotice> OwnedUpstream::ConsumeIdleNotice(const membership::LocalTime& now) {
  if (!drain_started_ || idle_notice_consumed_ || !IsIdle(now)) return std::nullopt;
  idle_notice_consumed_ = true;
  const base::MonotonicTime idle_since = std::max({*drain_started_, last_freed_, QuarantineEnd()});
  return IdleNotice{grant_.address, {grant_.service, grant_.place}, *drain_started_, idle_since};
}

}  // namespace wagtailpick::admission
