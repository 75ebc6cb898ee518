#include "wagtailpick_edge/edge_settings.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "settings/settings.h"

namespace wagtailpick::wagtailpick_edge {
namespace {

using base::FromSeconds;
using settings::KeyKind;
using settings::KeyRule;
using settings::Settings;

constexpr std::int64_t kMaxPort = 65'535;
constexpr double kBytesPerSecondPerMbps = 125'000;
constexpr double kBytesPerMb = 1'000'000;

std::vector<KeyRule> Schema() {
  return {
      {"node", "role", KeyKind::kChoice, true, {}, 0, 0, {"entry", "control"}},
      {"node", "vm", KeyKind::kText, true},
      {"node", "data_centre", KeyKind::kText, true},
      {"node", "regions", KeyKind::kText, true},
      {"node", "ip", KeyKind::kText, true},
      {"node", "cluster_port", KeyKind::kNumber, true, {}, 1, kMaxPort},
      {"node", "metrics_port", KeyKind::kNumber, false, "0", 0, kMaxPort},
      {"node", "link_mbps", KeyKind::kDecimal, false, "0", 0, 1'000'000},
      {"node", "memory_mb", KeyKind::kDecimal, false, "256", 16, 1'000'000},
      {"node", "seeds", KeyKind::kEndpointList, true},
      {"node", "log_file", KeyKind::kText, false, "stdout"},
      {"entry", "callers", KeyKind::kEndpoint},
      {"entry", "readiness", KeyKind::kEndpoint},
      {"entry", "grace_s", KeyKind::kDecimal, false, "6", 0, 3'600},
      {"entry", "cold_factor", KeyKind::kDecimal, false, "1", 0, 100},
      {"entry", "cold_slack", KeyKind::kDecimal, false, "0", 0, 1'000'000},
      {"entry", "retry_ratio", KeyKind::kDecimal, false, "0.1", 0, 10},
      {"entry", "retry_slack", KeyKind::kDecimal, false, "10", 0, 1'000'000},
      {"entry", "retry_window_s", KeyKind::kDecimal, false, "10", 1, 3'600},
      {"control", "orders", KeyKind::kEndpoint},
      {"control", "directory", KeyKind::kEndpoint},
      {"control", "data_folder", KeyKind::kText},
      {"control", "directory_lifetime_s", KeyKind::kDecimal, false, "2", 0, 3'600},
      {"control", "first_start", KeyKind::kChoice, false, "false", 0, 0, {"true", "false"}},
  };
}

base::Result<node::NodeOptions> LoadNode(const Settings& settings) {
  node::NodeOptions options;
  options.vm = settings.Text("node", "vm");
  options.data_centre = settings.Text("node", "data_centre");
  options.ip = settings.Text("node", "ip");
  options.cluster_port = static_cast<std::uint16_t>(settings.Number("node", "cluster_port"));
  const auto metrics_port = static_cast<std::uint16_t>(settings.Number("node", "metrics_port"));
  if (metrics_port != 0) options.metrics = base::Endpoint{options.ip, metrics_port};
  for (const auto& pair : settings.List("node", "regions")) {
    const auto colon = pair.find(':');
    if (colon == std::string::npos) {
      return settings.ErrorAt("node", "regions",
                              "'" + pair +
                                  "' is not accepted; expected pairs such as mvd-1:mvd, "
                                  "separated by commas");
    }
    options.regions[pair.substr(0, colon)] = pair.substr(colon + 1);
  }
  options.link_bytes_per_second =
      static_cast<std::uint64_t>(settings.Decimal("node", "link_mbps") * kBytesPerSecondPerMbps);
  options.memory_bytes =
      static_cast<std::uint64_t>(settings.Decimal("node", "memory_mb") * kBytesPerMb);
  for (const auto& seed : settings.List("node", "seeds")) {
    BOOST_OUTCOME_TRY(endpoint, base::ParseEndpoint(seed));
    options.seeds.push_back(endpoint);
  }
  return options;
}

base::Result<EdgeSettings> LoadEntry(const Settings& settings, node::NodeOptions node) {
  node::EntryOptions options;
  options.node = std::move(node);
  BOOST_OUTCOME_TRY(callers, settings.EndpointAt("entry", "callers"));
  BOOST_OUTCOME_TRY(readiness, settings.EndpointAt("entry", "readiness"));
  options.callers = callers;
  options.readiness = readiness;
  options.grace = FromSeconds(settings.Decimal("entry", "grace_s"));
  options.cold_bound = {settings.Decimal("entry", "cold_factor"),
                        settings.Decimal("entry", "cold_slack")};
  options.retry_bound = {settings.Decimal("entry", "retry_ratio"),
                         settings.Decimal("entry", "retry_slack"),
                         FromSeconds(settings.Decimal("entry", "retry_window_s"))};
  return EdgeSettings{settings.Text("node", "log_file"), std::move(options), std::nullopt};
}

base::Result<EdgeSettings> LoadControl(const Settings& settings, node::NodeOptions node) {
  node::ControlOptions options;
  options.node = std::move(node);
  BOOST_OUTCOME_TRY(orders, settings.EndpointAt("control", "orders"));
  BOOST_OUTCOME_TRY(directory, settings.EndpointAt("control", "directory"));
  options.orders = orders;
  options.directory = directory;
  options.data_folder = settings.Text("control", "data_folder");
  options.first_start = settings.Text("control", "first_start") == "true";
  if (options.data_folder.empty()) {
    return settings.ErrorAt("control", "data_folder",
                            "missing; expected a folder for the role control");
  }
  const auto max_lifetime = FromSeconds(settings.Decimal("control", "directory_lifetime_s"));
  options.directory_lifetime = std::min(options.directory_lifetime, max_lifetime);
  return EdgeSettings{settings.Text("node", "log_file"), std::nullopt, std::move(options)};
}

}  // namespace

base::Result<EdgeSettings> LoadEdgeSettings(const std::string& path) {
  BOOST_OUTCOME_TRY(settings, Settings::Load(path, Schema()));
  BOOST_OUTCOME_TRY(node, LoadNode(settings));
  if (settings.Text("node", "role") == "entry") return LoadEntry(settings, std::move(node));
  return LoadControl(settings, std::move(node));
}

}  // namespace wagtailpick::wagtailpick_edge
