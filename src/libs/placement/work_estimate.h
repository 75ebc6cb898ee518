#pragma once

#include <map>
#include <string>

#include "base/monotonic_time.h"
#include "placement/running_median.h"

namespace wagtailpick::placement {

/// How long upstreams work on a route's requests, learned from answers.
class WorkEstimates {
 public:
  class Estimate {
   public:
    explicit Estimate(base::Duration objective);

    /// Takes an answer that came without a queue; it counts for the nearer of the two.
    void Add(base::Duration work);

    /// The upstream has lately handled the same object.
    base::Duration warm() const { return warm_.value(); }
    base::Duration cold() const { return cold_.value(); }

   private:
    RunningMedian warm_;
    RunningMedian cold_;
  };

  /// Returns the route's estimate; a new one starts from the route's objective.
  Estimate& At(const std::string& route, base::Duration objective);

 private:
  std::map<std::string, Estimate> routes_;
};

}  // namespace wagtailpick::placement
