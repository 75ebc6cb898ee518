#include "wagtailpick_edge/role_loop.h"

#include <csignal>
#include <cstdlib>
#include <exception>

#include "logging/log.h"
#include "wagtailpick_edge/edge_settings.h"

namespace wagtailpick::wagtailpick_edge {
namespace {

using logging::Level;

void Reload(const std::string& settings_path, const RoleHooks& hooks) {
  const auto settings = LoadEdgeSettings(settings_path);
  if (!settings) return logging::Write(Level::kError, "reload_failed", settings.error().message);
  logging::Write(Level::kInfo, "settings_reloaded", settings_path);
  hooks.reload(settings.value().node());
}

// An exception that leaves a handler ends that handler's work and not the process. Periodic work
// and reads are scheduled before they can throw, so they go on.
void RunLoop(asio::io_context& loop) {
  while (true) {
    try {
      loop.run();
      return;
    } catch (const std::exception& error) {
      logging::Write(Level::kError, "handler_failed", error.what());
    }
  }
}

}  // namespace

asio::signal_set MakeRoleSignals(asio::io_context& loop) {
  return asio::signal_set(loop, SIGTERM, SIGINT, SIGHUP);
}

int RunRole(asio::io_context& loop, asio::signal_set& signals, const std::string& settings_path,
            const std::string& serving, const RoleHooks& hooks) {
  logging::Write(Level::kInfo, "process_started", serving);
  const std::function<void()> wait_for_signal = [&] {
    signals.async_wait([&](asio::error_code error, int signal) {
      if (error) return;
      wait_for_signal();
      if (signal == SIGHUP) {
        Reload(settings_path, hooks);
      } else {
        logging::Write(Level::kInfo, "process_stopping", "signal " + std::to_string(signal));
        hooks.stop([&loop] { loop.stop(); });
      }
    });
  };
  wait_for_signal();
  RunLoop(loop);
  logging::Write(Level::kInfo, "process_stopped", "");
  logging::Stop();
  return 0;
}

void EndProcess(int exit_code) { std::_Exit(exit_code); }

}  // namespace wagtailpick::wagtailpick_edge
