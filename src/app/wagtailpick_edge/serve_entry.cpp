#include "wagtailpick_edge/serve_entry.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <memory>

#include "logging/log.h"
#include "node/entry_node.h"
#include "platform/caller_dialect.h"
#include "platform/catalog_json.h"
#include "platform/entry_api.h"
#include "wagtailpick_edge/edge_settings.h"
#include "wagtailpick_edge/signals.h"

namespace wagtailpick::wagtailpick_edge {

int ServeEntry(const node::EntryOptions& options, const std::string& settings_path) {
  asio::io_context loop(1);
  std::unique_ptr<node::EntryNode> entry;
  node::EntryNode::Hooks hooks;
  hooks.decode_catalog = platform::DecodeCatalog;
  hooks.dialect = platform::CallerDialect();
  hooks.serve_readiness =
      platform::ReadinessApi([&entry] { return entry != nullptr && entry->ready(); });
  auto started = node::EntryNode::Start(loop, options, std::move(hooks));
  if (!started) {
    std::cerr << "wagtailpick_edge: " << started.error().message << "\n";
    return kExitCannotStart;
  }
  entry = std::move(started.value());
  logging::Write(logging::Level::kInfo, "process_started",
                 "entry on " + base::ToString(options.callers));
  SignalWatch signals(loop);
  signals.Start(
      [&] {
        logging::Write(logging::Level::kInfo, "process_stopping", "SIGTERM");
        entry->Drain([&loop] { loop.stop(); });
      },
      [&] {
        const auto settings = LoadEdgeSettings(settings_path);
        if (!settings) {
          return logging::Write(logging::Level::kError, "reload_failed", settings.error().message);
        }
        logging::Write(logging::Level::kInfo, "settings_reloaded", settings_path);
        entry->LearnSeeds(settings.value().node().seeds);
      });
  loop.run();
  logging::Write(logging::Level::kInfo, "process_stopped", "");
  logging::Stop();
  return 0;
}

}  // namespace wagtailpick::wagtailpick_edge
