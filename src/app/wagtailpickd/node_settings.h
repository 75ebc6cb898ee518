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

/// A delay towards one address; see `rpc::Client::SimulateDelay`.
struct SimulatedDelay {
  std::string address;
  base::Duration one_way{0};
};

/// The checked settings of one daemon.
struct NodeSettings {
  std::string vm;
  std::string data_centre;
  std::string rpc_address;
  base::Endpoint admin_endpoint;
  std::string log_file;
  std::int64_t timeline_events = 0;
  std::vector<SimulatedDelay> simulated_delays;
  /// Set when the process has the role.
  std::optional<entry::EntryOptions> entry;
  std::optional<controller::ControllerOptions> control;
};

/// Reads and checks an INI file. Fails with one line that names file, section, key and what is
/// accepted; nothing is written.
base::Result<NodeSettings> LoadNodeSettings(const std::string& path);

}  // namespace wagtailpick::wagtailpickd
