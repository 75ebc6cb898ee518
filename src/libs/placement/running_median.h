#pragma once

#include "base/monotonic_time.h"

namespace wagtailpick::placement {

/// Estimates the median of a stream of durations in constant space. Each sample moves the estimate
/// towards itself by a fixed share of the estimate, whatever its distance, so that a few outliers
/// have little effect.
class RunningMedian {
 public:
  /// `initial` is the estimate before the first sample.
  explicit RunningMedian(base::Duration initial) : estimate_(initial) {}

  void Add(base::Duration sample) {
    const auto step = estimate_ / kStepDivisor + base::Duration(1);
    estimate_ += sample > estimate_ ? step : -step;
    if (estimate_ < base::Duration(1)) estimate_ = base::Duration(1);
  }

  base::Duration value() const { return estimate_; }

 private:
  static constexpr int kStepDivisor = 12;

  base::Duration estimate_;
};

}  // namespace wagtailpick::placement
