#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "logging/log.h"
#include "wagtailpick_edge/edge_settings.h"
#include "wagtailpick_edge/serve_control.h"
#include "wagtailpick_edge/serve_entry.h"
#include "wagtailpick_edge/signals.h"

namespace {

namespace edge = wagtailpick::wagtailpick_edge;

constexpr const char* kUsage =
    R"(wagtailpick_edge: one VM of the steering system on a provider's platform.

Usage:
  wagtailpick_edge [--config=FILE] [--check]
  wagtailpick_edge --help
  wagtailpick_edge --version

Options:
  --config=FILE  Settings in INI form; without it the file named by WAGTAILPICK_CONFIG.
  --check        Check the settings and stop.
  --help         Show this text.
  --version      Show the version.

Exit codes: 0 stopped or checked, 1 can't start, 2 wrong settings or arguments.
)";

std::string SettingsPath(const docopt::value& argument) {
  if (argument.isString()) return argument.asString();
  const char* path = std::getenv("WAGTAILPICK_CONFIG");
  return path == nullptr ? std::string() : path;
}

int Run(const std::string& path, bool check) {
  const auto loaded = edge::LoadEdgeSettings(path);
  if (!loaded) {
    std::cerr << loaded.error().message << "\n";
    return edge::kExitWrongInput;
  }
  if (check) return 0;
  const auto& settings = loaded.value();
  const auto& node = settings.node();
  const auto logging =
      wagtailpick::logging::Start({node.vm, node.data_centre, settings.log_file, true});
  if (!logging) {
    std::cerr << "wagtailpick_edge: " << logging.error().message << "\n";
    return edge::kExitCannotStart;
  }
  if (settings.entry) return edge::ServeEntry(*settings.entry, path);
  return edge::ServeControl(*settings.control, path);
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
    std::cout << "wagtailpick_edge " << WAGTAILPICK_VERSION << "\n";
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "wagtailpick_edge: " << error.what() << "\n" << kUsage;
    return edge::kExitWrongInput;
  }
  const std::string path = SettingsPath(arguments.at("--config"));
  if (path.empty()) {
    std::cerr << "wagtailpick_edge: no settings: give --config or set WAGTAILPICK_CONFIG\n";
    return edge::kExitWrongInput;
  }
  return Run(path, arguments.at("--check").asBool());
}
