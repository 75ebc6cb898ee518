#include "wagtailpick_edge/serve_entry.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "node/entry_node.h"
#include "platform/caller_dialect.h"
#include "platform/catalog_json.h"
#include "platform/entry_api.h"
#include "wagtailpick_edge/role_loop.h"

namespace wagtailpick::wagtailpick_edge {

base::Error ServeEntry(const node::EntryOptions& options, const std::string& settings_path) {
  asio::io_context loop(1);
  auto signals = MakeRoleSignals(loop);
  std::unique_ptr<node::EntryNode> entry;
  node::EntryNode::Hooks hooks;
  hooks.decode_catalog = platform::DecodeCatalog;
  hooks.dialect = platform::CallerDialect();
  hooks.serve_readiness =
      platform::ReadinessApi([&entry] { return entry != nullptr && entry->ready(); });
  auto started = node::EntryNode::Start(loop, options, std::move(hooks));
  if (!started) return started.error();
  entry = std::move(started.value());
  RoleHooks role_hooks;
  role_hooks.stop = [&entry](std::function<void()> done) { entry->Drain(std::move(done)); };
  role_hooks.reload = [&entry](const node::NodeOptions& settings) {
    entry->SetSeeds(settings.seeds);
  };
  EndProcess(RunRole(loop, signals, settings_path, "entry on " + base::ToString(options.callers),
                     role_hooks));
}

}  // namespace wagtailpick::wagtailpick_edge
