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

/// Options of both kinds of process.
struct NodeOptions {
  std::string vm;
  std::string data_centre;
  /// Region of each data centre.
  std::map<std::string, std::string> regions;
  /// Address of this VM.
  std::string ip;
  /// Port for links between processes, the same on all VMs.
  std::uint16_t cluster_port = 0;
  /// Bandwidth of this VM's network link in bytes per second; 0 when it is unknown.
  std::uint64_t link_bytes_per_second = 0;
  /// Memory that the process may use, in bytes.
  std::uint64_t memory_bytes = 256'000'000;
  /// Addresses at which some of the replicas accept orders.
  std::vector<base::Endpoint> seeds;
  /// Where metrics are served; without it they are not served.
  std::optional<base::Endpoint> metrics;
};

struct EntryOptions {
  NodeOptions node;
  /// Where callers' requests are accepted.
  base::Endpoint callers;
  /// Where the platform's readiness checks are answered.
  base::Endpoint readiness;
  placement::ColdRateLimit cold_bound;
  placement::RetryLimit retry_bound;
  /// Longest time between SIGTERM and the exit of the process.
  base::Duration grace = std::chrono::seconds(6);
};

struct ControlOptions {
  NodeOptions node;
  /// Where orders and announcements are accepted.
  base::Endpoint orders;
  /// Where callers look up the addresses of entries. When it equals `orders`, one listener serves
  /// both.
  base::Endpoint directory;
  std::string data_folder;
  /// Set at the first start of the whole system with empty disks: the replica at the first seed
  /// creates the consensus group.
  bool first_start = false;
  /// How long callers may cache a lookup answer.
  base::Duration directory_lifetime = std::chrono::seconds(2);
};

}  // namespace wagtailpick::node
