#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/monotonic_time.h"
#include "placement/cold_rate_limiter.h"
#include "placement/retry_budget.h"

namespace wagtailpick::node {

/// What every process of the system is told.
struct NodeOptions {
  std::string vm;
  std::string data_centre;
  /// Region of each data centre.
  std::map<std::string, std::string> regions;
  std::string ip;
  /// Port of the links between processes, the same on all VMs.
  std::uint16_t cluster_port = 0;
  /// Bandwidth of this VM's link in bytes a second; 0 when it isn't known.
  std::uint64_t link_bytes_per_second = 0;
  /// Addresses at which some replicas take orders.
  std::vector<base::Endpoint> seeds;
  /// Where metrics are served; absent for nowhere.
  std::optional<base::Endpoint> metrics;
};

struct EntryOptions {
  NodeOptions node;
  base::Endpoint callers;
  base::Endpoint readiness;
  placement::ColdRateLimit cold_bound;
  placement::RetryLimit retry_bound;
  /// Time between SIGTERM and the end of the process.
  base::Duration grace = std::chrono::seconds(6);
};

struct ControlOptions {
  NodeOptions node;
  /// Where orders and announcements are taken.
  base::Endpoint orders;
  /// Where callers ask for entries; the same listener serves both when it equals `orders`.
  base::Endpoint directory;
  std::string data_folder;
  /// The whole system starts for the first time, with empty disks.
  bool first_start = false;
  /// How long callers may keep a directory answer.
  base::Duration directory_lifetime = std::chrono::seconds(2);
};

}  // namespace wagtailpick::node
