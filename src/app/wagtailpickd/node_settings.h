#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/monotonic_time.h"
#include "base/result.h"
#include "controller/controller_options.h"
#include "entry/entry_options.h"

namespace wagtailpick::wagtailpickd {

/// A simulated network delay of messages to `address`, for tests; see
/// `rpc::Client::SimulateDelay`.
struct SimulatedDelay {
  std::string address;
  base::Duration one_way{0};
};

/// The validated settings of one daemon.
struct NodeSettings {
  std::string vm;
  std::string data_centre;
  std::string rpc_address;
  base::Endpoint admin_endpoint;
  /// Path of the log file, "-" for standard error, or "stdout".
  std::string log_file;
  /// Number of timeline events that are kept; the oldest are dropped first.
  std::int64_t timeline_events = 0;
  std::vector<SimulatedDelay> simulated_delays;
  /// Set if the process has the role.
  std::optional<entry::EntryOptions> entry;
  std::optional<controller::ControllerOptions> control;
};

/// Reads and validates the INI file `path`. Fails with a one-line message that names the file, the
/// section, the key and what is accepted. Writes nothing.
base::Result<NodeSettings> LoadNodeSettings(const std::string& path);

}  // namespace wagtailpick::wagtailpickd
