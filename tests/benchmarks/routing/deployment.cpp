#include "deployment.h"

namespace wagtailpick::benchmarks {
namespace {

constexpr std::uint64_t kBytesPerMbit = 125'000;
// Share of a link's capacity that the system may use.
constexpr std::uint64_t kLinkSharePercent = 25;

std::shared_ptr<const routing::Topology> MakeTopology(base::Duration between_regions) {
  routing::TopologySpec spec{{0, 0, 1, 1, 2, 2}, kMs, {}};
  for (routing::RegionId from = 0; from < kRegions; ++from) {
    for (routing::RegionId to = 0; to < kRegions; ++to) {
      if (from != to) spec.links.push_back({from, to, between_regions});
    }
  }
  return std::make_shared<const routing::Topology>(routing::Topology::Build(spec).value());
}

}  // namespace

double Deployment::RegionCapacity(std::size_t service) const {
  const ServiceSpec& spec = services[service];
  const double slots = static_cast<double>(spec.servers * slots_per_server) / kRegions;
  return slots * 1e6 / static_cast<double>(spec.mean_time.count());
}

Deployment MantaAlta() {
  constexpr base::Duration kBetweenRegions = 20 * kMs;
  return {"manta-alta",
          routing::Policy::kLatency,
          kBetweenRegions,
          4'000 * kBytesPerMbit * kLinkSharePercent / 100,
          3,
          {{"listings", 16, 12 * kMs, 30'000, 1}, {"payment", 12, 40 * kMs, 5'000, 2}},
          MakeTopology(kBetweenRegions)};
}

Deployment Peachtree() {
  constexpr base::Duration kBetweenRegions = 35 * kMs;
  return {"peachtree",
          routing::Policy::kHeadroom,
          kBetweenRegions,
          280 * kBytesPerMbit * kLinkSharePercent / 100,
          4,
          {{"menu", 20, 15 * kMs, 20'000, 1}, {"deposit", 12, 45 * kMs, 5'000, 2}},
          MakeTopology(kBetweenRegions)};
}

}  // namespace wagtailpick::benchmarks
