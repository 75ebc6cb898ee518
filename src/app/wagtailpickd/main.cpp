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
  --config=FILE  Settings of this VM, in INI form.
  --check        Check the settings and stop.
  --init-group   Prepare the empty data folder of a replica of a new control group and stop. Never
                 for a replica whose disk was lost: start it without, and it joins again.
  --help         Show this text.
  --version      Show the version.

Exit codes: 0 stopped or checked, 1 can't start, 2 wrong settings or arguments.
)";

/// Above the longest lookup lifetime plus the longest request deadline (10 s each).
constexpr std::chrono::seconds kLongestDrain{25};
constexpr int kExitCannotStart = 1;

using wagtailpick::logging::Level;
using wagtailpick::logging::Write;

int Serve(const wagtailpick::wagtailpickd::NodeSettings& node) {
  // All threads inherit the blocked signals, so that only the wait below takes them.
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  auto daemon = wagtailpick::wagtailpickd::Daemon::Start(node);
  if (!daemon) {
    std::cerr << "wagtailpickd: " << daemon.error().message << "\n";
    return kExitCannotStart;
  }
  Write(Level::kInfo, "process_started", "serving on " + node.rpc_address);
  int signal = 0;
  sigwait(&stop_signals, &signal);
  Write(Level::kInfo, "process_stopping", "signal " + std::to_string(signal));
  daemon.value()->Drain(kLongestDrain);
  // Nothing is left to save: what has to last was synced when it was acknowledged. Threads of the
  // RPC library may still be inside callbacks, and running destructors under them aborts the
  // process.
  std::_Exit(0);
  return 0;
}

int InitGroup(const wagtailpick::wagtailpickd::NodeSettings& node) {
  if (!node.control) {
    std::cerr << "wagtailpickd: --init-group needs the role control\n";
    return settings::kExitWrongInput;
  }
  const auto done = wagtailpick::controller::Controller::InitGroup(*node.control);
  if (done) return 0;
  std::cerr << "wagtailpickd: " << done.error().message << "\n";
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
