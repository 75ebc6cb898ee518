#include "wagtailpick_edge/start_process.h"

#include <exception>
#include <iostream>
#include <optional>
#include <utility>

#include "base/monotonic_time.h"
#include "logging/log.h"
#include "settings/command_line.h"
#include "settings/file_age.h"
#include "wagtailpick_edge/edge_settings.h"
#include "wagtailpick_edge/role_loop.h"
#include "wagtailpick_edge/serve_control.h"
#include "wagtailpick_edge/serve_entry.h"
#include "wagtailpick_edge/settings_attempt.h"
#include "wagtailpick_edge/start_signals.h"

namespace wagtailpick::wagtailpick_edge {
namespace {

using base::ErrorCode;
using logging::Level;

/// Longer than the grace time of the process before, which may still hold a port or the lock of the
/// data folder.
constexpr base::Duration kMaxStartTime = std::chrono::seconds(10);
constexpr base::Duration kStartRetryInterval = std::chrono::milliseconds(250);

/// Whether a start that failed may succeed without a change by an operator: an address is in use, a
/// disk refuses reads or writes, the log file can't be opened, or another process holds the lock of
/// the data folder.
bool MayPass(const base::Error& error) {
  return error.code == ErrorCode::kUnavailable || error.code == ErrorCode::kIo ||
         error.code == ErrorCode::kConflict;
}

/// Loads the settings once the file is complete. Returns the error of the last attempt; stops
/// early when the process is told to stop.
base::Result<EdgeSettings> LoadCompleteSettings(const std::string& path, StartSignals& signals) {
  const auto give_up_at = base::MonotonicNow() + settings::kMaxReadTime;
  bool reported = false;
  while (true) {
    auto attempt = SettingsAttempt::Read(path);
    if (!attempt.may_change || base::MonotonicNow() >= give_up_at) return attempt.settings;
    const auto& error = attempt.settings.error();
    // Not reported for a valid file, which each start finds right after it was written.
    if (error.code != ErrorCode::kUnavailable && !std::exchange(reported, true)) {
      std::cerr << "wagtailpick_edge: waiting for the settings: " << error.message << "\n";
    }
    if (!signals.Wait(settings::kReadRetryInterval)) return attempt.settings;
  }
}

/// Serves until the process ends. Returns the reason if the role cannot start.
base::Error Serve(const EdgeSettings& settings, const std::string& path) {
  try {
    return settings.entry ? ServeEntry(*settings.entry, path)
                          : ServeControl(*settings.control, path);
  } catch (const std::exception& error) {
    return {ErrorCode::kCorrupt, std::string("start failed: ") + error.what()};
  }
}

int EndUnstarted(const base::Error& error) {
  std::cerr << "wagtailpick_edge: " << error.message << "\n";
  logging::Write(Level::kError, "start_failed", error.message);
  logging::Stop();
  return kExitCannotStart;
}

int EndStopped() {
  logging::Write(Level::kInfo, "process_stopped", "told to stop during the start");
  logging::Stop();
  return 0;
}

/// Starts logging, if it has not started yet, and serves. Returns the reason if either fails.
base::Error LogAndServe(const EdgeSettings& settings, const std::string& path, bool& logging) {
  if (!logging) {
    const auto& node = settings.node();
    const auto started = logging::Start({node.vm, node.data_centre, settings.log_file, true});
    if (!started) return started.error();
    logging = true;
  }
  return Serve(settings, path);
}

void ReportDelay(const base::Error& error, bool logging) {
  if (logging) return logging::Write(Level::kWarning, "start_delayed", error.message);
  std::cerr << "wagtailpick_edge: start delayed: " << error.message << "\n";
}

/// Starts logging and the role, again and again while the reason of the failure may pass.
int ServeOnceReady(EdgeSettings settings, const std::string& path, StartSignals& signals) {
  const auto give_up_at = base::MonotonicNow() + kMaxStartTime;
  bool logging = false;
  while (true) {
    const auto error = LogAndServe(settings, path, logging);
    if (!MayPass(error) || base::MonotonicNow() >= give_up_at) return EndUnstarted(error);
    ReportDelay(error, logging);
    if (!signals.Wait(kStartRetryInterval)) return EndStopped();
    // They may have changed meanwhile; SIGHUP only ends the wait.
    auto reloaded = SettingsAttempt::Read(path).settings;
    if (reloaded) settings = std::move(reloaded.value());
  }
}

}  // namespace

int StartProcess(const std::string& settings_path) {
  StartSignals signals;
  auto loaded = LoadCompleteSettings(settings_path, signals);
  if (!signals.Wait(base::Duration::zero())) return 0;
  if (!loaded) {
    std::cerr << loaded.error().message << "\n";
    return settings::kExitWrongInput;
  }
  return ServeOnceReady(std::move(loaded.value()), settings_path, signals);
}

}  // namespace wagtailpick::wagtailpick_edge
