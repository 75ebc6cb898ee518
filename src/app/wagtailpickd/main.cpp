#include <docopt/docopt.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "controller/controller.h"
#include "logging/log.h"
#include "wagtailpickd/daemon.h"
#include "wagtailpickd/node_settings.h"

namespace {

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
constexpr int kExitWrongInput = 2;

using wagtailpick::logging::Level;
using wagtailpick::logging::Write;

int Serve(const wagtailpick::wagtailpickd::NodeSettings& settings) {
  // All threads inherit the blocked signals, so that only the wait below takes them.
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  auto daemon = wagtailpick::wagtailpickd::Daemon::Start(settings);
  if (!daemon) {
    std::cerr << "wagtailpickd: " << daemon.error().message << "\n";
    return kExitCannotStart;
  }
  Write(Level::kInfo, "process_started", "serving on " + settings.rpc_address);
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

int InitGroup(const wagtailpick::wagtailpickd::NodeSettings& settings) {
  if (!settings.control) {
    std::cerr << "wagtailpickd: --init-group needs the role control\n";
    return kExitWrongInput;
  }
  const auto done = wagtailpick::controller::Controller::InitGroup(*settings.control);
  if (done) return 0;
  std::cerr << "wagtailpickd: " << done.error().message << "\n";
  return kExitCannotStart;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  std::map<std::string, docopt::value> arguments;
  try {
    arguments = docopt::docopt_parse(kUsage, words, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return 0;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << "wagtailpickd " << WAGTAILPICK_VERSION << "\n";
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "wagtailpickd: " << error.what() << "\n" << kUsage;
    return kExitWrongInput;
  }
  const auto settings =
      wagtailpick::wagtailpickd::LoadNodeSettings(arguments.at("--config").asString());
  if (!settings) {
    std::cerr << settings.error().message << "\n";
    return kExitWrongInput;
  }
  if (arguments.at("--check").asBool()) return 0;
  const auto& node = settings.value();
  if (arguments.at("--init-group").asBool()) return InitGroup(node);
  const auto logging = wagtailpick::logging::Start({node.vm, node.data_centre, node.log_file});
  if (!logging) {
    std::cerr << "wagtailpickd: " << logging.error().message << "\n";
    return kExitCannotStart;
  }
  return Serve(node);
}
