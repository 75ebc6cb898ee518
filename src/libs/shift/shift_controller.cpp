#include "shift/shift_controller.h"

#include <algorithm>

namespace wagtailpick::shift {
namespace {

constexpr std::uint32_t kMaxLevelPermille = 1'000;
constexpr std::uint32_t kLevelStepPermille = 100;
// A halving below this level stops the shift: the limit is rounded up, so that even the smallest
// level would admit one request per window.
constexpr std::uint32_t kMinLevelPermille = 10;
constexpr base::Duration kStepInterval{1'000'000};
// Older measurements do not show the current state.
constexpr base::Duration kMeasurementLifetime{1'000'000};
// The measurements show the effect of a halving only after running requests have finished.
constexpr base::Duration kHoldAfterHalving{3'000'000};
// Time until the level at which a threshold was crossed is allowed again. It is doubled each time
// the threshold is crossed there again, so that the level settles below instead of oscillating.
constexpr base::Duration kFirstCeilingWait{30'000'000};
constexpr base::Duration kLongestCeilingWait{480'000'000};
// After this time without demand the receiver's caches may be cold again.
constexpr base::Duration kIdleReset{30'000'000};

}  // namespace

ShiftController::ShiftController(ShiftThresholds thresholds)
    : thresholds_(thresholds),
      level_permille_(kLevelStepPermille),
      ceiling_permille_(kMaxLevelPermille) {}

void ShiftController::SetShare(std::uint32_t requests_per_window, base::MonotonicTime valid_until) {
  share_ = requests_per_window;
  valid_until_ = valid_until;
}

std::uint32_t ShiftController::AdmissionLimit(base::MonotonicTime now) const {
  if (now >= valid_until_) return 0;
  // Rounded up, so that a small share is usable at a low level. The result never exceeds the share.
  const std::uint64_t scaled = std::uint64_t{share_} * level_permille_;
  return static_cast<std::uint32_t>((scaled + kMaxLevelPermille - 1) / kMaxLevelPermille);
}

bool ShiftController::TryAdmit(base::MonotonicTime now) {
  const std::uint32_t limit = AdmissionLimit(now);
  if (window_.TryAdmit(limit, now)) return true;
  // A refusal without a valid share does not show that the level is too low.
  if (now < valid_until_ && share_ > 0) {
    refused_ = true;
    refused_at_ = now;
  }
  return false;
}

StepReason ShiftController::EvaluateHealthy(const ShiftMeasurement& measured,
                                            base::MonotonicTime now) const {
  const double p50 = static_cast<double>(measured.p50.count());
  const double warm = static_cast<double>(measured.warm_p50.count());
  if (halved_ && now - halved_at_ < kHoldAfterHalving) return StepReason::kHeldAfterHalving;
  const bool is_near_threshold = p50 > thresholds_.hold_latency_factor * warm ||
                                 measured.free_share <= thresholds_.hold_free_share;
  if (is_near_threshold) return StepReason::kHeldNearBound;
  if (!refused_) return StepReason::kHeldNoDemand;
  if (level_permille_ >= kMaxLevelPermille) return StepReason::kHeldAtCap;
  if (level_permille_ >= ceiling_permille_) return StepReason::kHeldAfterHalving;
  return StepReason::kStepUp;
}

StepReason ShiftController::Evaluate(const std::optional<ShiftMeasurement>& measured,
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
  return EvaluateHealthy(*measured, now);
}

void ShiftController::Halve(base::MonotonicTime now) {
  const bool crossed_again =
      halved_ &&
      level_permille_ > ceiling_permille_ - std::min(ceiling_permille_, kLevelStepPermille);
  ceiling_wait_ =
      crossed_again ? std::min(2 * ceiling_wait_, kLongestCeilingWait) : kFirstCeilingWait;
  ceiling_permille_ =
      std::max(kLevelStepPermille, level_permille_ - std::min(level_permille_, kLevelStepPermille));
  level_permille_ = level_permille_ / 2 < kMinLevelPermille ? 0 : level_permille_ / 2;
  halved_ = true;
  halved_at_ = now;
  ceiling_changed_at_ = now;
}

void ShiftController::RaiseCeiling(base::MonotonicTime now) {
  if (ceiling_permille_ >= kMaxLevelPermille || now - ceiling_changed_at_ < ceiling_wait_) return;
  ceiling_permille_ = std::min(ceiling_permille_ + kLevelStepPermille, kMaxLevelPermille);
  ceiling_changed_at_ = now;
}

std::uint32_t ShiftController::NextLevel() const {
  return std::min({level_permille_ + kLevelStepPermille, ceiling_permille_, kMaxLevelPermille});
}

ShiftStep ShiftController::Tick(const std::optional<ShiftMeasurement>& measured,
                                base::MonotonicTime now) {
  if (!started_) {
    started_ = true;
    changed_at_ = now;
    refused_at_ = now;
  }
  RaiseCeiling(now);
  if (level_permille_ > kLevelStepPermille && window_.Count(now) == 0 &&
      now - refused_at_ >= kIdleReset) {
    level_permille_ = kLevelStepPermille;
    changed_at_ = now;
    return {StepReason::kReset, level_permille_};
  }
  const StepReason reason = Evaluate(measured, now);
  const bool halved = reason == StepReason::kHalvedFull || reason == StepReason::kHalvedSlow;
  if (halved) Halve(now);
  if (reason == StepReason::kStepUp) level_permille_ = NextLevel();
  if (halved || reason == StepReason::kStepUp) {
    changed_at_ = now;
    refused_ = false;
  }
  return {reason, level_permille_};
}

void ShiftController::ForceLevel(std::uint32_t permille, base::MonotonicTime now) {
  started_ = true;
  changed_at_ = now;
  refused_at_ = now;
  ceiling_permille_ = kMaxLevelPermille;
  level_permille_ = std::min(permille, kMaxLevelPermille);
}

}  // namespace wagtailpick::shift
