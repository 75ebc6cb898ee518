#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "base/monotonic_time.h"

namespace wagtailpick::placement {

/// Returns the identity of an object among the requests of one route: an upstream that has handled
/// an object for one route isn't faster for it on another. 0, for no object, stays 0.
std::uint64_t RouteObjectHash(std::uint64_t object, const std::string& route);

/// Counts the objects that the requests of each service concern, and says from this how many
/// upstreams may share an object. An upstream stays fast for a few dozen objects only: with more of
/// them on each, every request finds its object forgotten.
class ObjectTracker {
 public:
  void Note(const std::string& service, std::uint64_t object, base::MonotonicTime now);

  /// Requests per second of one object of the service, over all entries of a region of `entries`
  /// entries in `regions`; entries of a region see the same objects at about the same rate.
  double RatePerObject(const std::string& service, std::size_t entries, std::size_t regions) const;

  /// Upstreams of `upstreams` that one object of the service may use, at least 1. Callers of each
  /// of `regions` have objects of their own, and an entry sees those of its region.
  std::size_t Spread(const std::string& service, std::size_t upstreams, std::size_t regions) const;

 private:
  struct Objects {
    std::unordered_map<std::uint64_t, base::MonotonicTime> seen;
    base::MonotonicTime forget_due;
    base::MonotonicTime window_start;
    std::uint32_t in_window = 0;
    /// Requests per second in the last whole window.
    double rate = 0;
  };

  std::map<std::string, Objects> services_;
};

}  // namespace wagtailpick::placement
