#include "wagtailpickd/node_settings.h"

#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <utility>
#include <vector>

#include "settings/settings.h"

namespace wagtailpick::wagtailpickd {
namespace {

using settings::KeyKind;
using settings::KeyRule;
using settings::Settings;

/// Largest accepted body; leaves headroom in the messages between entries, which carry bodies.
constexpr std::int64_t kMaxBodyBytes = std::int64_t{8} * 1024 * 1024;

/// Upper bound of a simulated delay between regions.
constexpr int kMaxSimulatedDelayMs = 1'000;

KeyRule Text(const char* section, const char* key, bool required) {
  return {section, key, KeyKind::kText, required};
}

KeyRule Address(const char* section, const char* key, bool required) {
  return {section, key, KeyKind::kEndpoint, required};
}

KeyRule Number(const char* section, const char* key, std::int64_t fallback, std::int64_t min,
               std::int64_t max) {
  return {section, key, KeyKind::kNumber, false, std::to_string(fallback), min, max};
}

std::vector<KeyRule> Schema() {
  return {
      Text("node", "name", true),
      Text("node", "region", true),
      Text("node", "data_centre", true),
      {"node", "roles", KeyKind::kChoiceList, true, "", 0, 0, {"entry", "control"}},
      Address("node", "rpc_address", true),
      Address("node", "admin_address", true),
      {"node", "log_file", KeyKind::kText, false, "-"},
      Number("node", "timeline_events", 4'096, 16, 1'000'000),
      Address("entry", "http_address", false),
      Number("entry", "http_threads", 2, 1, 64),
      Number("entry", "max_body_bytes", kMaxBodyBytes, 1'024, kMaxBodyBytes),
      Number("entry", "max_running", 2'048, 1, 1'000'000),
      Number("entry", "max_connections", 4'096, 1, 1'000'000),
      Text("control", "data_folder", false),
      Text("control", "operator_keys", false),
      {"peers", "control", KeyKind::kEndpointList, true},
      Text("peers", "simulated_delays", false),
  };
}

base::Result<void> RequireKey(const Settings& settings, const char* section, const char* key) {
  if (!settings.Text(section, key).empty()) return base::Ok();
  return boost::outcome_v2::failure(
      settings.ErrorAt(section, key, "missing; expected for the chosen roles"));
}

base::Result<std::vector<std::string>> ReadOperatorKeys(const Settings& settings) {
  const std::string path = settings.Text("control", "operator_keys");
  std::ifstream file(path);
  std::vector<std::string> keys;
  std::string line;
  while (std::getline(file, line)) {
    if (!line.empty()) keys.push_back(line);
  }
  if (!keys.empty()) return keys;
  return boost::outcome_v2::failure(
      settings.ErrorAt("control", "operator_keys",
                       "'" + path +
                           "' cannot be read or is empty; expected a file with one "
                           "public key on each line"));
}

/// Parses the simulated delays, given as "ADDRESS:PORT=MS" pairs.
base::Result<std::vector<SimulatedDelay>> ParseDelays(const Settings& settings) {
  std::vector<SimulatedDelay> delays;
  for (const auto& part : settings.List("peers", "simulated_delays")) {
    const auto equals = part.find('=');
    const std::string address = part.substr(0, equals);
    const std::string digits = equals == std::string::npos ? "" : part.substr(equals + 1);
    int millis = -1;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), millis);
    const bool is_number = parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
    if (!is_number || millis < 0 || millis > kMaxSimulatedDelayMs ||
        !base::ParseEndpoint(address)) {
      return boost::outcome_v2::failure(settings.ErrorAt(
          "peers", "simulated_delays",
          "'" + part + "' is not accepted; expected ADDRESS:PORT=MS with 0 to 1000 ms"));
    }
    delays.push_back({address, std::chrono::milliseconds(millis)});
  }
  return delays;
}

base::Result<controller::ControllerOptions> LoadControl(const Settings& settings) {
  BOOST_OUTCOME_TRY(RequireKey(settings, "control", "data_folder"));
  BOOST_OUTCOME_TRY(RequireKey(settings, "control", "operator_keys"));
  controller::ControllerOptions options;
  options.vm = settings.Text("node", "name");
  options.data_folder = settings.Text("control", "data_folder");
  const bool is_accessible = std::filesystem::is_directory(options.data_folder) &&
                             access(options.data_folder.c_str(), R_OK | W_OK | X_OK) == 0;
  if (!is_accessible) {
    return boost::outcome_v2::failure(
        settings.ErrorAt("control", "data_folder",
                         "'" + options.data_folder +
                             "' is not an accessible folder; expected one that can be written"));
  }
  options.replicas = settings.List("peers", "control");
  const auto own = std::find(options.replicas.begin(), options.replicas.end(),
                             settings.Text("node", "rpc_address"));
  if (own == options.replicas.end()) {
    return boost::outcome_v2::failure(
        settings.ErrorAt("peers", "control", "expected to list this node's own rpc_address"));
  }
  options.replica_id = static_cast<std::uint64_t>(own - options.replicas.begin()) + 1;
  BOOST_OUTCOME_TRY(keys, ReadOperatorKeys(settings));
  options.operator_keys = std::move(keys);
  return options;
}

base::Result<entry::EntryOptions> LoadEntry(const Settings& settings) {
  BOOST_OUTCOME_TRY(RequireKey(settings, "entry", "http_address"));
  const auto number = [&](const char* key) {
    return static_cast<std::size_t>(settings.Number("entry", key));
  };
  BOOST_OUTCOME_TRY(http_endpoint, settings.EndpointAt("entry", "http_address"));
  entry::EntryOptions options;
  options.vm = settings.Text("node", "name");
  options.region = settings.Text("node", "region");
  options.data_centre = settings.Text("node", "data_centre");
  options.http_endpoint = http_endpoint;
  options.rpc_address = settings.Text("node", "rpc_address");
  options.control = settings.List("peers", "control");
  options.http_threads = number("http_threads");
  options.max_body_bytes = number("max_body_bytes");
  options.max_running = number("max_running");
  options.max_connections = number("max_connections");
  return options;
}

}  // namespace

base::Result<NodeSettings> LoadNodeSettings(const std::string& path) {
  BOOST_OUTCOME_TRY(settings, Settings::Load(path, Schema()));
  BOOST_OUTCOME_TRY(admin_endpoint, settings.EndpointAt("node", "admin_address"));
  NodeSettings node;
  node.vm = settings.Text("node", "name");
  node.data_centre = settings.Text("node", "data_centre");
  node.rpc_address = settings.Text("node", "rpc_address");
  node.admin_endpoint = admin_endpoint;
  node.log_file = settings.Text("node", "log_file");
  node.timeline_events = settings.Number("node", "timeline_events");
  BOOST_OUTCOME_TRY(delays, ParseDelays(settings));
  node.simulated_delays = std::move(delays);
  const auto roles = settings.List("node", "roles");
  const auto has_role = [&](const char* role) {
    return std::find(roles.begin(), roles.end(), role) != roles.end();
  };
  if (has_role("entry")) {
    BOOST_OUTCOME_TRY(entry, LoadEntry(settings));
    node.entry = std::move(entry);
  }
  if (has_role("control")) {
    BOOST_OUTCOME_TRY(control, LoadControl(settings));
    node.control = std::move(control);
  }
  return node;
}

}  // namespace wagtailpick::wagtailpickd
