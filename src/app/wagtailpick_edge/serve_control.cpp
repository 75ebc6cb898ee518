#include "wagtailpick_edge/serve_control.h"

#include <asio/io_context.hpp>
#include <memory>

#include "node/control_node.h"
#include "platform/catalog_json.h"
#include "platform/control_api.h"
#include "wagtailpick_edge/role_loop.h"

namespace wagtailpick::wagtailpick_edge {

base::Error ServeControl(const node::ControlOptions& options, const std::string& settings_path) {
  asio::io_context loop(1);
  auto signals = MakeRoleSignals(loop);
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
  if (!started) return started.error();
  control = std::move(started.value());
  RoleHooks role_hooks;
  role_hooks.stop = [&control](std::function<void()> done) { control->Drain(std::move(done)); };
  role_hooks.reload = [&control](const node::NodeOptions& settings) {
    control->SetSeeds(settings.seeds);
  };
  EndProcess(RunRole(loop, signals, settings_path, "control on " + base::ToString(options.orders),
                     role_hooks));
}

}  // namespace wagtailpick::wagtailpick_edge
