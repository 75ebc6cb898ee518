#pragma once

#include <cstdint>
#include <optional>

#include "base/monotonic_time.h"
#include "shift/admit_window.h"
#include "shift/shift_step.h"

namespace wagtailpick::shift {

/// Thresholds for the receiving region (design page, section 3.9).
struct ShiftThresholds {
  /// The level is halved when the median answer time exceeds this multiple of the warm one.
  double halve_latency_factor = 1.5;
  /// The level is not raised above this multiple: caches are cold or slots fill up.
  double hold_latency_factor = 1.25;
  /// The level is halved when the fraction of free slots is at most this.
  double halve_free_share = 0.20;
  /// The level is not raised when the fraction of free slots is at most this.
  double hold_free_share = 0.25;
};

/// Controls the rate of the shift of one service from one region to another, within this entry's
/// share of the shift cap. The level is the usable part of the share. It is raised in steps, and
/// only after a measurement shows that the receiving region sustains the current level. Not
/// thread-safe.
class ShiftController {
 public:
  explicit ShiftController(ShiftThresholds thresholds = {});

  /// Sets this entry's share of the cap, in requests per window of 1,000 ms. No request is admitted
  /// at or after `valid_until`.
  void SetShare(std::uint32_t requests_per_window, base::MonotonicTime valid_until);

  /// Admits one request, or returns false. Never admits more than the share in any window.
  bool TryAdmit(base::MonotonicTime now);

  /// Removes the newest admission at or before `admitted_at`, because its request was not sent.
  void CancelAdmission(base::MonotonicTime admitted_at) { window_.CancelAdmission(admitted_at); }

  /// Adjusts the level and returns what was done. Call it several times a second with the newest
  /// measurement, if there is one.
  ShiftStep Tick(const std::optional<ShiftMeasurement>& measured, base::MonotonicTime now);

  /// Sets the level at once instead of in steps, for the shift from a failed region. `permille` is
  /// the load planned by `PlanForcedShift` in thousandths of the cap, rounded up. The share still
  /// limits the admissions, and later measurements halve the level as usual.
  void ForceLevel(std::uint32_t permille, base::MonotonicTime now);

  /// Usable part of the share, in thousandths.
  std::uint32_t level_permille() const { return level_permille_; }

  /// Returns the number of requests per window that the current level allows; 0 without a valid
  /// share.
  std::uint32_t AdmissionLimit(base::MonotonicTime now) const;

 private:
  /// Decides what to do with the level.
  StepReason Evaluate(const std::optional<ShiftMeasurement>& measured,
                      base::MonotonicTime now) const;
  /// Decides whether to raise the level, given a measurement that does not require a halving.
  StepReason EvaluateHealthy(const ShiftMeasurement& measured, base::MonotonicTime now) const;
  std::uint32_t NextLevel() const;
  void Halve(base::MonotonicTime now);
  /// Raises the ceiling by one step if `ceiling_wait_` has passed since it was last changed.
  void RaiseCeiling(base::MonotonicTime now);

  ShiftThresholds thresholds_;
  AdmitWindow window_;
  std::uint32_t share_ = 0;
  base::MonotonicTime valid_until_;
  std::uint32_t level_permille_;
  // Highest level allowed: one step below the level of the last halving, then raised gradually.
  std::uint32_t ceiling_permille_;
  base::Duration ceiling_wait_{0};
  // Last change of the level.
  base::MonotonicTime changed_at_;
  base::MonotonicTime halved_at_;
  base::MonotonicTime ceiling_changed_at_;
  base::MonotonicTime refused_at_;
  // The level was halved at least once.
  bool halved_ = false;
  // A request was refused since the last change of the level, so there is demand for a higher one.
  bool refused_ = false;
  bool started_ = false;
};

}  // namespace wagtailpick::shift
