#pragma once

#include <docopt/docopt_value.h>

#include <functional>
#include <map>
#include <string>

namespace wagtailpick::settings {

/// Exit code of all programs for invalid settings or arguments.
constexpr int kExitWrongInput = 2;

/// Name, version and usage text of a program. `usage` is a docopt description.
struct CommandLine {
  std::string program;
  std::string version;
  std::string usage;
};

/// Parsed arguments by the name that the usage text gives them.
using Arguments = std::map<std::string, docopt::value>;

/// Parses the arguments of `main`, passes them to `run` and returns its exit code. For `--help` and
/// `--version` prints the usage or the version and returns 0. For invalid arguments prints the
/// error and the usage to standard error and returns `kExitWrongInput`.
int RunCommandLine(const CommandLine& command_line, int argc, char** argv,
                   const std::function<int(const Arguments&)>& run);

}  // namespace wagtailpick::settings
