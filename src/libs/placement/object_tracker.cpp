#include "placement/object_tracker.h"

#include <xxhash.h>

#include <algorithm>

namespace wagtailpick::placement {
namespace {

/// Objects that an upstream is given to handle; it keeps somewhat more.
constexpr std::size_t kObjectsPerUpstream = 34;
/// An object needs one upstream, and another for when that one is full. Each further one is cold
/// for it and pushes another object out of that upstream's memory.
constexpr std::size_t kMaxSpread = 2;
constexpr base::Duration kRateWindow = std::chrono::seconds(2);
constexpr base::Duration kMemory = std::chrono::seconds(30);
constexpr std::size_t kMaxObjects = 20'000;

}  // namespace

std::uint64_t RouteObjectHash(std::uint64_t object, const std::string& route) {
  if (object == 0) return 0;
  return XXH3_64bits_withSeed(route.data(), route.size(), object);
}

void ObjectTracker::Note(const std::string& service, std::uint64_t object,
                         base::MonotonicTime now) {
  if (object == 0) return;
  auto& objects = services_[service];
  if (now >= objects.forget_due) {
    objects.forget_due = now + kMemory;
    std::erase_if(objects.seen, [now](const auto& item) { return now - item.second > kMemory; });
  }
  ++objects.in_window;
  if (now - objects.window_start >= kRateWindow) {
    objects.rate = static_cast<double>(objects.in_window) /
                   std::chrono::duration<double>(now - objects.window_start).count();
    objects.window_start = now;
    objects.in_window = 0;
  }
  if (objects.seen.size() < kMaxObjects) objects.seen[object] = now;
}

double ObjectTracker::RatePerObject(const std::string& service, std::size_t entries,
                                    std::size_t regions) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.seen.empty()) return 0;
  const double entries_of_region =
      static_cast<double>(entries) / static_cast<double>(std::max<std::size_t>(regions, 1));
  return found->second.rate / static_cast<double>(found->second.seen.size()) *
         std::max(entries_of_region, 1.0);
}

std::size_t ObjectTracker::Spread(const std::string& service, std::size_t upstreams,
                                  std::size_t regions) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.seen.empty()) return upstreams;
  const std::size_t objects = found->second.seen.size() * std::max<std::size_t>(regions, 1);
  const std::size_t by_memory = (kObjectsPerUpstream * upstreams + objects / 2) / objects;
  return std::clamp<std::size_t>(by_memory, 1, kMaxSpread);
}

}  // namespace wagtailpick::placement
