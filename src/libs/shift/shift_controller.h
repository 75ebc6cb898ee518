#pragma once

#include <cstdint>
#include <optional>

#include "base/monotonic_time.h"
#include "shift/admit_window.h"
#include "shift/shift_step.h"

namespace wagtailpick::shift {

/// Bounds that a receiving place has to keep (design page, section 3.9).
struct ShiftThresholds {
  /// Median answer time, as a multiple of the warm one, from which the level is halved.
  double halve_latency_factor = 1.5;
  /// Multiple from which it no longer rises: caches are cold or slots fill up.
  double hold_latency_factor = 1.25;
  /// Share of free slots at or below which the level is halved.
  double halve_free_share = 0.20;
  /// Share of free slots at or below which it no longer rises.
  double hold_free_share = 0.25;
};

/// Paces the shift of one service from one region to another, within this entry's share of the cap.
/// The level is the part of the share in use; it rises only on evidence that the receiving place
/// bears the present one. Owned by one thread.
class ShiftController {
 public:
  explicit ShiftController(ShiftThresholds thresholds = {});

  /// Sets the share of the cap in requests per window of 1,000 ms. Nothing is admitted from
  /// `valid_until` on.
  void SetShare(std::uint32_t requests_per_window, base::MonotonicTime valid_until);

  /// Admits one request, or returns false. Never admits more than the share in any window.
  bool TryAdmit(base::MonotonicTime now);

  /// Takes back an admission for a request that was not sent.
  void CancelAdmission(base::MonotonicTime admitted_at) { window_.CancelAdmission(admitted_at); }

  /// Adjusts the level; call it several times a second with the newest measurement, if any.
  ShiftStep Tick(const std::optional<ShiftMeasurement>& measured, base::MonotonicTime now);

  /// Sets the level without steps, as planned by `PlanForcedShift` for a region that failed: the
  /// planned requests as thousandths of the cap, rounded up. The share still holds, and later
  /// measurements halve the level as usual.
  void ForceLevel(std::uint32_t permille, base::MonotonicTime now);

  std::uint32_t level_permille() const { return level_; }

  /// Requests per window that the present level allows.
  std::uint32_t AdmissionLimit(base::MonotonicTime now) const;

 private:
  StepReason Judge(const std::optional<ShiftMeasurement>& measured, base::MonotonicTime now) const;
  StepReason JudgeHealthy(const ShiftMeasurement& measured, base::MonotonicTime now) const;
  std::uint32_t NextLevel() const;
  void Halve(base::MonotonicTime now);
  void LiftCeiling(base::MonotonicTime now);

  ShiftThresholds thresholds_;
  AdmitWindow window_;
  std::uint32_t share_ = 0;
  base::MonotonicTime valid_until_;
  std::uint32_t level_;
  // Highest level allowed since a halving.
  std::uint32_t ceiling_;
  base::Duration ceiling_wait_{0};
  base::MonotonicTime changed_at_;
  base::MonotonicTime halved_at_;
  base::MonotonicTime lifted_at_;
  base::MonotonicTime refused_at_;
  bool halved_ = false;
  bool refused_ = false;
  bool started_ = false;
};

}  // namespace wagtailpick::shift
