#include "wagtailpick_edge/role_loop.h"

#include <asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <utility>

#include "base/monotonic_time.h"
#include "base/process_memory.h"
#include "logging/log.h"
#include "settings/file_age.h"
#include "wagtailpick_edge/settings_attempt.h"

namespace wagtailpick::wagtailpick_edge {
namespace {

using logging::Level;

/// Reloads the settings on SIGHUP. A file that may be incomplete is read again until it is
/// complete, as no further signal follows.
class Reloader {
 public:
  Reloader(asio::io_context& loop, std::string settings_path, const RoleHooks& hooks)
      : timer_(loop), settings_path_(std::move(settings_path)), hooks_(hooks) {}

  void Reload() {
    give_up_at_ = base::MonotonicNow() + settings::kMaxReadTime;
    TryReload();
  }

 private:
  void TryReload() {
    const auto attempt = SettingsAttempt::Read(settings_path_);
    if (attempt.settings) {
      logging::Write(Level::kInfo, "settings_reloaded", settings_path_);
      return hooks_.reload(attempt.settings.value().node());
    }
    if (!attempt.may_change || base::MonotonicNow() >= give_up_at_) {
      return logging::Write(Level::kError, "reload_failed", attempt.settings.error().message);
    }
    timer_.expires_after(settings::kReadRetryInterval);
    timer_.async_wait([this](asio::error_code error) {
      if (!error) TryReload();
    });
  }

  asio::steady_timer timer_;
  std::string settings_path_;
  const RoleHooks& hooks_;
  base::MonotonicTime give_up_at_;
};

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
  Reloader reloader(loop, settings_path, hooks);
  const std::function<void()> wait_for_signal = [&] {
    signals.async_wait([&](asio::error_code error, int signal) {
      if (error) return;
      wait_for_signal();
      if (signal == SIGHUP) {
        reloader.Reload();
      } else {
        logging::Write(Level::kInfo, "process_stopping", "signal " + std::to_string(signal));
        hooks.stop([&loop] { loop.stop(); });
      }
    });
  };
  wait_for_signal();
  RunLoop(loop);
  logging::Write(Level::kInfo, "process_stopped", "",
                 {{"peak_bytes", std::to_string(base::ReadProcessMemory().peak)}});
  logging::Stop();
  return 0;
}

void EndProcess(int exit_code) { std::_Exit(exit_code); }

}  // namespace wagtailpick::wagtailpick_edge
