#include "shift/shift_controller.h"

#include <algorithm>

namespace wagtailpick::shift {
namespace {

constexpr std::uint32_t kWholeLevel = 1'000;
constexpr std::uint32_t kLevelStep = 100;
// Below this a halving stops the shift: ever smaller levels would still admit one request each.
constexpr std::uint32_t kLeastLevel = 10;
constexpr base::Duration kStepInterval{1'000'000};
// A measurement older than this says nothing about the present.
constexpr base::Duration kMeasurementLifetime{1'000'000};
// Running requests have to finish before a halving shows in the receiver's figures.
constexpr base::Duration kHoldAfterHalving{3'000'000};
// The level that crossed a bound is tried again after this time, doubled each time that it crosses
// it again, so that the level settles below the bound and doesn't swing around it.
constexpr base::Duration kFirstCeilingWait{30'000'000};
constexpr base::Duration kLongestCeilingWait{480'000'000};
// Evidence from before a long pause says nothing about the receiver's caches now.
constexpr base::Duration kIdleReset{30'000'000};

}  // namespace

ShiftController::ShiftController(ShiftThresholds thresholds)
    : thresholds_(thresholds), level_(kLevelStep), ceiling_(kWholeLevel) {}

void ShiftController::SetShare(std::uint32_t requests_per_window, base::MonotonicTime valid_until) {
  share_ = requests_per_window;
  valid_until_ = valid_until;
}

std::uint32_t ShiftController::AdmissionLimit(base::MonotonicTime now) const {
  if (now >= valid_until_) return 0;
  // Rounded up, so that a share of few requests is usable at a low level; never above the share.
  const std::uint64_t scaled = std::uint64_t{share_} * level_;
  return static_cast<std::uint32_t>((scaled + kWholeLevel - 1) / kWholeLevel);
}

bool ShiftController::TryAdmit(base::MonotonicTime now) {
  const std::uint32_t allowance = AdmissionLimit(now);
  if (window_.TryAdmit(allowance, now)) return true;
  // A refusal for lack of a share doesn't show that the level is too low.
  if (now < valid_until_ && share_ > 0) {
    refused_ = true;
    refused_at_ = now;
  }
  return false;
}

StepReason ShiftController::JudgeHealthy(const ShiftMeasurement& measured,
                                         base::MonotonicTime now) const {
  const double p50 = static_cast<double>(measured.p50.count());
  const double warm = static_cast<double>(measured.warm_p50.count());
  if (halved_ && now - halved_at_ < kHoldAfterHalving) return StepReason::kHeldAfterHalving;
  const bool near = p50 > thresholds_.hold_latency_factor * warm ||
                    measured.free_share <= thresholds_.hold_free_share;
  if (near) return StepReason::kHeldNearBound;
  if (!refused_) return StepReason::kHeldNoDemand;
  if (level_ >= kWholeLevel) return StepReason::kHeldAtCap;
  if (level_ >= ceiling_) return StepReason::kHeldAfterHalving;
  return StepReason::kStepUp;
}

StepReason ShiftController::Judge(const std::optional<ShiftMeasurement>& measured,
                                  base::MonotonicTime now) const {
  if (now - changed_at_ < kStepInterval) return StepReason::kTooEarly;
  const bool usable = measured && now - measured->taken_at <= kMeasurementLifetime &&
                      measured->taken_at > changed_at_;
  if (!usable) return StepReason::kHeldUnmeasured;
  if (measured->free_share <= thresholds_.halve_free_share) return StepReason::kHalvedFull;
  if (measured->warm_p50 <= base::Duration::zero()) return StepReason::kHeldUnmeasured;
  const double slow =
      thresholds_.halve_latency_factor * static_cast<double>(measured->warm_p50.count());
  if (static_cast<double>(measured->p50.count()) > slow) return StepReason::kHalvedSlow;
  return JudgeHealthy(*measured, now);
}

void ShiftController::Halve(base::MonotonicTime now) {
  const bool again = halved_ && level_ > ceiling_ - std::min(ceiling_, kLevelStep);
  ceiling_wait_ = again ? std::min(2 * ceiling_wait_, kLongestCeilingWait) : kFirstCeilingWait;
  ceiling_ = std::max(kLevelStep, level_ - std::min(level_, kLevelStep));
  level_ = level_ / 2 < kLeastLevel ? 0 : level_ / 2;
  halved_ = true;
  halved_at_ = now;
  lifted_at_ = now;
}

void ShiftController::LiftCeiling(base::MonotonicTime now) {
  if (ceiling_ >= kWholeLevel || now - lifted_at_ < ceiling_wait_) return;
  ceiling_ = std::min(ceiling_ + kLevelStep, kWholeLevel);
  lifted_at_ = now;
}

std::uint32_t ShiftController::NextLevel() const {
  return std::min({level_ + kLevelStep, ceiling_, kWholeLevel});
}

ShiftStep ShiftController::Tick(const std::optional<ShiftMeasurement>& measured,
                                base::MonotonicTime now) {
  if (!started_) {
    started_ = true;
    changed_at_ = now;
    refused_at_ = now;
  }
  LiftCeiling(now);
  if (level_ > kLevelStep && window_.Count(now) == 0 && now - refused_at_ >= kIdleReset) {
    level_ = kLevelStep;
    changed_at_ = now;
    return {StepReason::kReset, level_};
  }
  const StepReason reason = Judge(measured, now);
  const bool halved = reason == StepReason::kHalvedFull || reason == StepReason::kHalvedSlow;
  if (halved) Halve(now);
  if (reason == StepReason::kStepUp) level_ = NextLevel();
  if (halved || reason == StepReason::kStepUp) {
    changed_at_ = now;
    refused_ = false;
  }
  return {reason, level_};
}

void ShiftController::ForceLevel(std::uint32_t permille, base::MonotonicTime now) {
  started_ = true;
  changed_at_ = now;
  refused_at_ = now;
  ceiling_ = kWholeLevel;
  level_ = std::min(permille, kWholeLevel);
}

}  // namespace wagtailpick::shift
