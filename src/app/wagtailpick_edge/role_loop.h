#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <string>

#include "node/node_options.h"

namespace wagtailpick::wagtailpick_edge {

constexpr int kExitCannotStart = 1;

/// Callbacks of a role that `RunRole` invokes on signals.
struct RoleHooks {
  /// Stops the role's work; calls `done` once the process may exit.
  std::function<void(std::function<void()> done)> stop;
  /// Applies settings that were reloaded.
  std::function<void(const node::NodeOptions&)> reload;
};

/// Runs `loop` until SIGTERM or SIGINT has been handled; SIGHUP reloads the settings from
/// `settings_path`. `serving` is the message of the log event `process_started`, such as "entry on
/// ADDRESS". Returns the exit code of the process.
int RunRole(asio::io_context& loop, const std::string& settings_path, const std::string& serving,
            const RoleHooks& hooks);

}  // namespace wagtailpick::wagtailpick_edge
