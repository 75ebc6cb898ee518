#include "cluster.h"

#include <algorithm>
#include <cmath>

namespace wagtailpick::benchmarks {
namespace {

constexpr std::size_t kEntryVms = 10;
// Number of requests of a region with which an upstream's caches become warm for it (time constant
// of an exponential).
constexpr double kWarmingRequests = 150;
constexpr double kWarm = 1e9;
// Share by which a server with all slots in use is slower than an idle one.
constexpr double kBusySlowdown = 0.2;

}  // namespace

Cluster::Cluster(const Deployment& deployment, const Scenario& scenario)
    : deployment_(deployment), scenario_(scenario) {
  for (std::size_t i = 0; i < kEntryVms; ++i) {
    entries_.push_back({static_cast<routing::PlaceId>(i % kPlaces), true});
  }
  for (std::uint16_t service = 0; service < deployment.service_count(); ++service) {
    for (std::uint32_t server = 0; server < deployment.services[service].servers; ++server) {
      Upstream upstream;
      upstream.id = static_cast<routing::UpstreamId>(upstreams_.size());
      upstream.service = service;
      upstream.place = static_cast<routing::PlaceId>(server % kPlaces);
      const std::size_t second = upstream.place + kPlaces;
      const bool odd = (server / kPlaces) % 2 == 1 && second < kEntryVms;
      upstream.owner = static_cast<routing::EntryId>(odd ? second : upstream.place);
      upstream.slots = upstream.usable = deployment.slots_per_server;
      upstream.idle_connections = deployment.slots_per_server;
      upstream.served[deployment.topology->RegionOf(upstream.place)] = kWarm;
      const routing::OwnedPoolKey key{upstream.owner, upstream.place, service};
      GroupOf(key).upstreams.push_back(upstreams_.size());
      upstreams_.push_back(upstream);
    }
  }
}

OwnedGroup& Cluster::GroupOf(const routing::OwnedPoolKey& key) {
  const auto found = std::find_if(groups_.begin(), groups_.end(),
                                  [&](const OwnedGroup& group) { return group.key == key; });
  if (found != groups_.end()) return *found;
  groups_.push_back({key, {}, {}});
  return groups_.back();
}

std::uint32_t Cluster::FreeSlots(const OwnedGroup& group, base::MonotonicTime now) const {
  std::uint32_t free = 0;
  for (const auto i : group.upstreams) free += upstreams_[i].Free(now);
  return free;
}

std::uint32_t Cluster::TotalSlots(const OwnedGroup& group) const {
  std::uint32_t total = 0;
  for (const auto i : group.upstreams) total += upstreams_[i].slots;
  return total;
}

double Cluster::ExpectedTime(const Upstream& upstream, routing::RegionId region) const {
  const auto mean = static_cast<double>(deployment_.services[upstream.service].mean_time.count());
  const double cold =
      1 + (scenario_.cold_factor - 1) * std::exp(-upstream.served[region] / kWarmingRequests);
  const double busy = static_cast<double>(upstream.in_use) / static_cast<double>(upstream.slots);
  return mean * cold * (1 + kBusySlowdown * (busy - 0.5));
}

double Cluster::Headroom(routing::PlaceId place, base::MonotonicTime now) const {
  double sum = 0;
  double services = 0;
  for (std::uint16_t service = 0; service < deployment_.service_count(); ++service) {
    double free = 0;
    double total = 0;
    for (const auto& upstream : upstreams_) {
      if (upstream.place != place || upstream.service != service) continue;
      free += upstream.Free(now);
      total += upstream.slots;
    }
    if (total == 0) continue;
    sum += free / total;
    ++services;
  }
  return services == 0 ? 0 : sum / services;
}

std::uint32_t Cluster::InUse(routing::PlaceId place) const {
  std::uint32_t sum = 0;
  for (const auto& upstream : upstreams_) sum += upstream.place == place ? upstream.in_use : 0;
  return sum;
}

}  // namespace wagtailpick::benchmarks
