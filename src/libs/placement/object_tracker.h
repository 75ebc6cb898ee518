#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "base/monotonic_time.h"

namespace wagtailpick::placement {

/// Returns a hash that identifies the object on one route. Each route has hashes of its own, as an
/// upstream that is warm for an object on one route is cold for it on another. `object` 0, for no
/// object, gives 0.
std::uint64_t RouteObjectHash(std::uint64_t object, const std::string& route);

/// Counts the objects and requests of each service and derives from them how many upstreams may
/// share an object. An upstream stays warm for a few dozen objects only; with more objects on it,
/// every request would find its object evicted.
class ObjectTracker {
 public:
  /// Records a request; one without an object (0) is ignored.
  void RecordRequest(const std::string& service, std::uint64_t object, base::MonotonicTime now);

  /// Returns the estimated requests per second for one object of the service, summed over the
  /// entries of one region; 0 for an unknown service. There are `entries` entries in `regions`
  /// regions, and those of a region are assumed to see the same objects at the same rate.
  double RatePerObject(const std::string& service, std::size_t entries, std::size_t regions) const;

  /// Returns how many of `upstreams` upstreams one object of the service may use: at least 1, or
  /// all of them for an unknown service. The callers of each of `regions` regions are assumed to
  /// have objects of their own, and an entry counts only those of its region.
  std::size_t UpstreamsPerObject(const std::string& service, std::size_t upstreams,
                                 std::size_t regions) const;

 private:
  struct ServiceObjects {
    /// Time of the last request by object.
    std::unordered_map<std::uint64_t, base::MonotonicTime> last_seen;
    /// When expired objects are removed next.
    base::MonotonicTime expire_due;
    base::MonotonicTime window_start;
    std::uint32_t requests_in_window = 0;
    /// Requests per second in the last complete window.
    double rate = 0;
  };

  std::map<std::string, ServiceObjects> services_;
};

}  // namespace wagtailpick::placement
