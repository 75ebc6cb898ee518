#include "placement/object_tracker.h"

#include <xxhash.h>

#include <algorithm>

namespace wagtailpick::placement {
namespace {

/// Objects assigned to one upstream, somewhat fewer than it keeps warm.
constexpr std::size_t kObjectsPerUpstream = 34;
/// An object needs one upstream, and a second one when the first is full. Each further one would be
/// cold for the object and would evict another object from its cache.
constexpr std::size_t kMaxUpstreamsPerObject = 2;
constexpr base::Duration kRateWindow = std::chrono::seconds(2);

}  // namespace

std::uint64_t RouteObjectHash(std::uint64_t object, const std::string& route) {
  if (object == 0) return 0;
  return XXH3_64bits_withSeed(route.data(), route.size(), object);
}

void ObjectTracker::RecordRequest(const std::string& service, std::uint64_t object,
                                  base::MonotonicTime now) {
  if (object == 0) return;
  auto& tracked = services_[service];
  ++tracked.requests_in_window;
  if (now - tracked.window_start >= kRateWindow) {
    tracked.rate = static_cast<double>(tracked.requests_in_window) /
                   base::ToSeconds(now - tracked.window_start);
    tracked.window_start = now;
    tracked.requests_in_window = 0;
  }
  tracked.objects.Set(object, {}, now);
}

double ObjectTracker::RatePerObject(const std::string& service, std::size_t entries,
                                    std::size_t regions) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.objects.empty()) return 0;
  const double entries_of_region =
      static_cast<double>(entries) / static_cast<double>(std::max<std::size_t>(regions, 1));
  return found->second.rate / static_cast<double>(found->second.objects.size()) *
         std::max(entries_of_region, 1.0);
}

std::size_t ObjectTracker::UpstreamsPerObject(const std::string& service, std::size_t upstreams,
                                              std::size_t regions) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.objects.empty()) return upstreams;
  const std::size_t objects = found->second.objects.size() * std::max<std::size_t>(regions, 1);
  const std::size_t by_capacity = (kObjectsPerUpstream * upstreams + objects / 2) / objects;
  return std::clamp<std::size_t>(by_capacity, 1, kMaxUpstreamsPerObject);
}

std::size_t ObjectTracker::object_count(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.objects.size();
}

}  // namespace wagtailpick::placement
