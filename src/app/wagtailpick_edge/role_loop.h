#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <string>

#include "node/node_options.h"

namespace wagtailpick::wagtailpick_edge {

constexpr int kExitCannotStart = 1;

/// What differs between the roles while the process serves.
struct RoleHooks {
  /// Ends the role's work; calls `done` when the process may end.
  std::function<void(std::function<void()> done)> stop;
  /// Takes settings that were read again.
  std::function<void(const node::NodeOptions&)> reload;
};

/// Serves until SIGTERM or SIGINT was handled; SIGHUP reads the settings again. `serving` tells in
/// the log what is served. Returns the exit code of the process.
int RunRole(asio::io_context& loop, const std::string& settings_path, const std::string& serving,
            const RoleHooks& hooks);

}  // namespace wagtailpick::wagtailpick_edge
