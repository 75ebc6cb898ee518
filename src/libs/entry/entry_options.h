#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint.h"

namespace wagtailpick::entry {

/// Settings of the entry role.
struct EntryOptions {
  /// Name of this entry's VM.
  std::string vm;
  std::string region;
  std::string data_centre;
  base::Endpoint http_endpoint;
  /// Address at which other entries reach this one, as "host:port".
  std::string rpc_address;
  /// RPC addresses of the control replicas.
  std::vector<std::string> control;
  std::size_t http_threads = 2;
  std::size_t max_body_bytes = 8UL * 1024 * 1024;
  /// Limit of callers' requests that run at the same time; further ones are refused.
  std::size_t max_running = 2'048;
  std::size_t max_connections = 4'096;
};

}  // namespace wagtailpick::entry
