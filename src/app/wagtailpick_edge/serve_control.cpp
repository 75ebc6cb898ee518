#include "wagtailpick_edge/serve_control.h"

#include <asio/io_context.hpp>
#include <iostream>
#include <memory>

#include "logging/log.h"
#include "node/control_node.h"
#include "platform/catalog_json.h"
#include "platform/control_api.h"
#include "wagtailpick_edge/edge_settings.h"
#include "wagtailpick_edge/signals.h"

namespace wagtailpick::wagtailpick_edge {

int ServeControl(const node::ControlOptions& options, const std::string& settings_path) {
  asio::io_context loop(1);
  std::unique_ptr<node::ControlNode> control;
  const platform::ControlApi api([&control] { return control.get(); });
  node::ControlNode::Hooks hooks;
  hooks.check_catalog = [](const std::string& bytes) -> base::Result<std::uint64_t> {
    BOOST_OUTCOME_TRY(catalog, platform::DecodeCatalog(bytes));
    return catalog.version();
  };
  hooks.serve_orders = [&api](const std::shared_ptr<net::InboundRequest>& inbound) {
    api.Serve(inbound);
  };
  hooks.serve_directory = hooks.serve_orders;
  auto started = node::ControlNode::Start(loop, options, std::move(hooks));
  if (!started) {
    std::cerr << "wagtailpick_edge: " << started.error().message << "\n";
    return kExitCannotStart;
  }
  control = std::move(started.value());
  logging::Write(logging::Level::kInfo, "process_started",
                 "control on " + base::ToString(options.orders));
  SignalWatch signals(loop);
  signals.Start(
      [&] {
        logging::Write(logging::Level::kInfo, "process_stopping", "SIGTERM");
        loop.stop();
      },
      [&] {
        const auto settings = LoadEdgeSettings(settings_path);
        if (!settings) {
          return logging::Write(logging::Level::kError, "reload_failed", settings.error().message);
        }
        logging::Write(logging::Level::kInfo, "settings_reloaded", settings_path);
        control->LearnSeeds(settings.value().node().seeds);
      });
  loop.run();
  logging::Write(logging::Level::kInfo, "process_stopped", "");
  logging::Stop();
  return 0;
}

}  // namespace wagtailpick::wagtailpick_edge
