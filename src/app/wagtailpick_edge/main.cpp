#include <malloc.h>

#include <cstdlib>
#include <iostream>
#include <string>

#include "logging/crash_report.h"
#include "settings/command_line.h"
#include "wagtailpick_edge/edge_settings.h"
#include "wagtailpick_edge/start_process.h"

namespace {

namespace edge = wagtailpick::wagtailpick_edge;
namespace settings = wagtailpick::settings;

/// Buffers of at least this size are mapped.
constexpr int kMappedBufferBytes = 256 * 1024;

constexpr const char* kUsage =
    R"(wagtailpick_edge: one VM of the traffic steering system on a provider's platform.

Usage:
  wagtailpick_edge [--config=FILE] [--check]
  wagtailpick_edge --help
  wagtailpick_edge --version

Options:
  --config=FILE  Settings file in INI format. Without it, WAGTAILPICK_CONFIG names the file.
  --check        Check the settings and exit.
  --help         Show this help.
  --version      Show the version.

Exit codes: 0 stopped or checked, 1 cannot start, 2 invalid settings or arguments.
)";

std::string SettingsPath(const docopt::value& argument) {
  if (argument.isString()) return argument.asString();
  const char* path = std::getenv("WAGTAILPICK_CONFIG");
  return path == nullptr ? std::string() : path;
}

int Run(const settings::Arguments& arguments) {
  const std::string path = SettingsPath(arguments.at("--config"));
  if (path.empty()) {
    std::cerr << "wagtailpick_edge: no settings file: pass --config or set WAGTAILPICK_CONFIG\n";
    return settings::kExitWrongInput;
  }
  if (!arguments.at("--check").asBool()) return edge::StartProcess(path);
  const auto loaded = edge::LoadEdgeSettings(path);
  if (loaded) return 0;
  std::cerr << loaded.error().message << "\n";
  return settings::kExitWrongInput;
}

}  // namespace

int main(int argc, char** argv) {
  wagtailpick::logging::InstallCrashReport();
  // Large buffers are mapped, and given back to the system when they are freed. By default the
  // threshold rises with each freed buffer, and freed memory of that size stays with the process.
  mallopt(M_MMAP_THRESHOLD, kMappedBufferBytes);
  const settings::CommandLine command_line{"wagtailpick_edge", WAGTAILPICK_VERSION, kUsage};
  return settings::RunCommandLine(command_line, argc, argv, Run);
}
