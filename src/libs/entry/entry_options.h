#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint.h"

namespace wagtailpick::entry {

/// Settings of the entry role.
struct EntryOptions {
  std::string vm;
  std::string region;
  std::string data_centre;
  base::Endpoint http_endpoint;
  std::string rpc_address;
  /// Addresses of the control replicas.
  std::vector<std::string> control;
  std::size_t http_threads = 2;
  std::size_t max_body_bytes = 8UL * 1024 * 1024;
  /// Requests that may be running at once; more are refused.
  std::size_t max_running = 2'048;
  std::size_t max_connections = 4'096;
};

}  // namespace wagtailpick::entry
