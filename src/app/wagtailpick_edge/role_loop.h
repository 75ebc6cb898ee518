#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
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

/// Returns the signals that `RunRole` handles. Create it before the role starts: a signal that
/// comes during the start waits for `RunRole` then, and would end the process otherwise.
asio::signal_set MakeRoleSignals(asio::io_context& loop);

/// Runs `loop` until SIGTERM or SIGINT has been handled; SIGHUP reloads the settings from
/// `settings_path`. `serving` is the message of the log event `process_started`, such as "entry on
/// ADDRESS". Returns the exit code of the process.
int RunRole(asio::io_context& loop, asio::signal_set& signals, const std::string& settings_path,
            const std::string& serving, const RoleHooks& hooks);

/// Ends the process with `exit_code` after `RunRole`, without destroying objects: that would wait
/// for threads whose disk or output is stalled. What was acknowledged was synced before.
[[noreturn]] void EndProcess(int exit_code);

}  // namespace wagtailpick::wagtailpick_edge
