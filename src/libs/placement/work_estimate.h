#pragma once

#include <map>
#include <string>

#include "base/monotonic_time.h"
#include "placement/running_median.h"

namespace wagtailpick::placement {

/// Estimates from answers how long upstreams work on the requests of each route.
class WorkEstimates {
 public:
  /// Work times of one route, on warm and on cold upstreams.
  class Estimate {
   public:
    /// Starts with guesses from the route's objective.
    explicit Estimate(base::Duration objective);

    /// Adds the work time of an answer without queueing to the nearer of the two medians.
    void Add(base::Duration work);

    /// Median if the upstream has recently handled the same object.
    base::Duration warm() const { return warm_.value(); }
    /// Median if it has not.
    base::Duration cold() const { return cold_.value(); }

   private:
    RunningMedian warm_;
    RunningMedian cold_;
  };

  /// Returns the estimate of the route named `route`; a new one is derived from its objective.
  Estimate& ForRoute(const std::string& route, base::Duration objective);

 private:
  std::map<std::string, Estimate> routes_;
};

}  // namespace wagtailpick::placement
