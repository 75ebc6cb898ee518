#pragma once

#include "base/monotonic_time.h"

namespace wagtailpick::placement {

/// Follows the median of a stream of durations in constant space: each sample moves the estimate by
/// a fixed share of itself towards the sample, so that a few outliers don't.
class RunningMedian {
 public:
  explicit RunningMedian(base::Duration start) : estimate_(start) {}

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
