#include "placement/work_estimate.h"

namespace wagtailpick::placement {

// In the known deployments, objectives lie between the work times of warm and cold upstreams.
WorkEstimates::Estimate::Estimate(base::Duration objective)
    : warm_(objective / 2), cold_(objective * 3 / 2) {}

// The boundary between warm and cold is their geometric mean, as work times vary by a factor.
void WorkEstimates::Estimate::Add(base::Duration work) {
  const auto squared = static_cast<double>(work.count()) * static_cast<double>(work.count());
  const auto product = static_cast<double>(warm().count()) * static_cast<double>(cold().count());
  (squared < product ? warm_ : cold_).Add(work);
}

WorkEstimates::Estimate& WorkEstimates::ForRoute(const std::string& route,
                                                 base::Duration objective) {
  const auto found = routes_.find(route);
  if (found != routes_.end()) return found->second;
  return routes_.emplace(route, Estimate(objective)).first->second;
}

}  // namespace wagtailpick::placement
