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
/// Objects without a request for this long no longer count.
constexpr base::Duration kObjectLifetime = std::chrono::seconds(30);
/// Objects that are tracked for each service; further ones are not counted.
constexpr std::size_t kMaxObjects = 20'000;

}  // namespace

std::uint64_t RouteObjectHash(std::uint64_t object, const std::string& route) {
  if (object == 0) return 0;
  return XXH3_64bits_withSeed(route.data(), route.size(), object);
}

void ObjectTracker::RecordRequest(const std::string& service, std::uint64_t object,
                                  base::MonotonicTime now) {
  if (object == 0) return;
  auto& objects = services_[service];
  if (now >= objects.expire_due) {
    objects.expire_due = now + kObjectLifetime;
    std::erase_if(objects.last_seen,
                  [now](const auto& item) { return now - item.second > kObjectLifetime; });
  }
  ++objects.requests_in_window;
  if (now - objects.window_start >= kRateWindow) {
    objects.rate = static_cast<double>(objects.requests_in_window) /
                   base::ToSeconds(now - objects.window_start);
    objects.window_start = now;
    objects.requests_in_window = 0;
  }
  if (objects.last_seen.size() < kMaxObjects) objects.last_seen[object] = now;
}

double ObjectTracker::RatePerObject(const std::string& service, std::size_t entries,
                                    std::size_t regions) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.last_seen.empty()) return 0;
  const double entries_of_region =
      static_cast<double>(entries) / static_cast<double>(std::max<std::size_t>(regions, 1));
  return found->second.rate / static_cast<double>(found->second.last_seen.size()) *
         std::max(entries_of_region, 1.0);
}

std::size_t ObjectTracker::UpstreamsPerObject(const std::string& service, std::size_t upstreams,
                                              std::size_t regions) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.last_seen.empty()) return upstreams;
  const std::size_t objects = found->second.last_seen.size() * std::max<std::size_t>(regions, 1);
  const std::size_t by_capacity = (kObjectsPerUpstream * upstreams + objects / 2) / objects;
  return std::clamp<std::size_t>(by_capacity, 1, kMaxUpstreamsPerObject);
}

}  // namespace wagtailpick::placement
