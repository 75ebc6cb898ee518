#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/expiring_map.h"
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

  /// Number of objects that are counted for the service.
  std::size_t object_count(const std::string& service) const;

 private:
  /// Objects that are counted for each service.
  static constexpr std::size_t kMaxObjects = 20'000;
  /// Objects without a request for this long no longer count.
  static constexpr base::Duration kObjectLifetime = std::chrono::seconds(30);

  struct ServiceObjects {
    /// Objects with a recent request. At the cap, the one whose last request was the longest ago
    /// is no longer counted: the count stays at the cap, and objects in use stay in it.
    base::ExpiringSet<std::uint64_t> objects{kMaxObjects, kObjectLifetime};
    base::MonotonicTime window_start;
    std::uint32_t requests_in_window = 0;
    /// Requests per second in the last complete window.
    double rate = 0;
  };

  std::map<std::string, ServiceObjects> services_;
};

}  // namespace wagtailpick::placement
