#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "controller/controller.h"
#include "logging/log.h"
#include "settings/command_line.h"
#include "wagtailpickd/daemon.h"
#include "wagtailpickd/node_settings.h"

namespace {

namespace settings = wagtailpick::settings;

constexpr const char* kUsage = R"(wagtailpickd: one VM of the traffic steering system.

Usage:
  wagtailpickd --config=FILE [--check | --init-group]
  wagtailpickd --help
  wagtailpickd --version

Options:
  --config=FILE  Settings file of this VM, in INI format.
  --check        Check the settings and exit.
  --init-group   Initialise the empty data folder of a replica of a new control group and exit.
                 Do not use it for a replica that lost its disk: without it, the replica rejoins
                 its group.
  --help         Show this help.
  --version      Show the version.

Exit codes: 0 stopped or checked, 1 cannot start, 2 invalid settings or arguments.
)";

/// Longer than the longest lookup lifetime plus the longest request deadline (10 s each).
constexpr std::chrono::seconds kDrainTimeout{25};
constexpr int kExitCannotStart = 1;

using wagtailpick::logging::Level;
using wagtailpick::logging::Write;

/// Waits for a signal of `signals` other than SIGHUP. By default SIGHUP ends the process; a closed
/// terminal or a log rotation may send it.
int WaitForStop(const sigset_t& signals) {
  int signal = 0;
  while (true) {
    sigwait(&signals, &signal);
    if (signal != SIGHUP) return signal;
    Write(Level::kInfo, "signal_ignored", "SIGHUP: settings are read at the start only");
  }
}

int Serve(const wagtailpick::wagtailpickd::NodeSettings& node) {
  // All threads inherit the blocked signals, so only sigwait() below receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  auto daemon = wagtailpick::wagtailpickd::Daemon::Start(node);
  if (!daemon) {
    std::cerr << "wagtailpickd: " << daemon.error().message << "\n";
    return kExitCannotStart;
  }
  Write(Level::kInfo, "process_started", "serving on " + node.rpc_address);
  const int signal = WaitForStop(signals);
  Write(Level::kInfo, "process_stopping", "signal " + std::to_string(signal));
  daemon.value()->Drain(kDrainTimeout);
  // Skips destructors: threads of the RPC library may still run callbacks, and destroying objects
  // that these use aborts the process. No data is lost, as all durable state was synced before it
  // was acknowledged.
  std::_Exit(0);
  return 0;
}

int InitGroup(const wagtailpick::wagtailpickd::NodeSettings& node) {
  if (!node.control) {
    std::cerr << "wagtailpickd: --init-group requires the role control in [node] roles\n";
    return settings::kExitWrongInput;
  }
  const auto initialised = wagtailpick::controller::Controller::InitGroup(*node.control);
  if (initialised) return 0;
  std::cerr << "wagtailpickd: " << initialised.error().message << "\n";
  return kExitCannotStart;
}

int Run(const settings::Arguments& arguments) {
  const auto loaded =
      wagtailpick::wagtailpickd::LoadNodeSettings(arguments.at("--config").asString());
  if (!loaded) {
    std::cerr << loaded.error().message << "\n";
    return settings::kExitWrongInput;
  }
  if (arguments.at("--check").asBool()) return 0;
  const auto& node = loaded.value();
  if (arguments.at("--init-group").asBool()) return InitGroup(node);
  const auto logging = wagtailpick::logging::Start({node.vm, node.data_centre, node.log_file});
  if (!logging) {
    std::cerr << "wagtailpickd: " << logging.error().message << "\n";
    return kExitCannotStart;
  }
  return Serve(node);
}

}  // namespace

int main(int argc, char** argv) {
  const settings::CommandLine command_line{"wagtailpickd", WAGTAILPICK_VERSION, kUsage};
  return settings::RunCommandLine(command_line, argc, argv, Run);
}
