#include "placement/work_estimate.h"

namespace wagtailpick::placement {

WorkEstimates::Estimate& WorkEstimates::At(const std::string& route, base::Duration objective) {
  const auto found = routes_.find(route);
  if (found != routes_.end()) return found->second;
  // Objectives lie between the work of a warm and of a cold upstream in the deployments of today.
  const Estimate start{RunningMedian(objective / 2), RunningMedian(objective * 3 / 2)};
  return routes_.emplace(route, start).first->second;
}

}  // namespace wagtailpick::placement
