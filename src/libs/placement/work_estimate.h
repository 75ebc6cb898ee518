#pragma once

#include <map>
#include <string>

#include "base/monotonic_time.h"
#include "placement/quantile.h"

namespace wagtailpick::placement {

/// How long upstreams work on a route's requests, learned from answers.
class WorkEstimates {
 public:
  struct Estimate {
    /// The upstream has lately handled the same object.
    RunningMedian warm;
    RunningMedian cold;
  };

  /// Returns the route's estimate; a new one starts from the route's objective.
  Estimate& At(const std::string& route, base::Duration objective);

 private:
  std::map<std::string, Estimate> routes_;
};

}  // namespace wagtailpick::placement
