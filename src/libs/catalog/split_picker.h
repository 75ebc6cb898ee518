#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "catalog/route.h"

namespace wagtailpick::catalog {

/// Distributes each route's requests over its targets by smooth weighted round robin: any sequence
/// of consecutive requests is divided nearly by the weights. A pick, also the first one after a
/// change, takes a time that depends on the number of targets only, not on their weights.
class SplitPicker {
 public:
  /// `seed` and the route's name determine where its sequence starts, so that many entries with few
  /// requests each do not all begin with the same target.
  explicit SplitPicker(std::uint64_t seed) : seed_(seed) {}

  /// Returns the service for the route's next request. The route must have a target; the reference
  /// is valid as long as `route`. A route whose targets have changed starts another sequence, at
  /// the position that it had reached.
  const std::string& Pick(const Route& route);

 private:
  struct State {
    /// The targets to which `credits` belong.
    std::vector<RouteTarget> targets;
    /// Current weight of each target; the highest one is picked next.
    std::vector<std::int64_t> credits;
    /// Picks so far, also before the targets have changed.
    std::uint64_t picks = 0;
  };

  /// Starts a sequence for the targets of `route`.
  void Start(const Route& route, State& state) const;

  std::uint64_t seed_;
  /// By name of the route.
  std::map<std::string, State> states_;
};

}  // namespace wagtailpick::catalog
