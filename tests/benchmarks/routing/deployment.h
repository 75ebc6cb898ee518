#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "routing/choice.h"
#include "routing/topology.h"

namespace wagtailpick::benchmarks {

inline constexpr base::Duration kMs{1'000};
inline constexpr std::size_t kRegions = 3;
inline constexpr std::size_t kPlaces = 6;
inline constexpr std::uint32_t kShiftHeadroomPercent = 20;

/// A service of a deployment. Service time and size in bytes are assumptions of the model.
struct ServiceSpec {
  std::string name;
  std::uint32_t servers = 0;
  base::Duration mean_time{0};
  std::uint32_t bytes = 0;
  std::uint32_t priority = 1;
};

/// One of the two deployments of the design page, section 1.3.
struct Deployment {
  std::string name;
  routing::Policy policy = routing::Policy::kLatency;
  base::Duration between_regions{0};
  std::uint64_t link_bytes_per_s = 0;
  std::uint32_t slots_per_server = 0;
  std::vector<ServiceSpec> services;
  std::shared_ptr<const routing::Topology> topology;

  std::uint16_t service_count() const { return static_cast<std::uint16_t>(services.size()); }

  /// Returns the requests per second that one region serves with all slots of `service` in use.
  double RegionCapacity(std::size_t service) const;
};

Deployment MantaAlta();
Deployment Peachtree();

}  // namespace wagtailpick::benchmarks
