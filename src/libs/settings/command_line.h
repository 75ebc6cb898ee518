#pragma once

#include <docopt/docopt_value.h>

#include <functional>
#include <map>
#include <string>

namespace wagtailpick::settings {

/// Exit code of all programs for wrong settings or arguments.
constexpr int kExitWrongInput = 2;

/// What a program prints of itself. `usage` follows the conventions of docopt.
struct CommandLine {
  std::string program;
  std::string version;
  std::string usage;
};

using Arguments = std::map<std::string, docopt::value>;

/// Parses the arguments of `main` and returns the exit code of `run`. Prints the help or version if
/// that was asked for and returns 0; prints the error and the usage for wrong arguments and returns
/// `kExitWrongInput`.
int RunCommandLine(const CommandLine& command_line, int argc, char** argv,
                   const std::function<int(const Arguments&)>& run);

}  // namespace wagtailpick::settings
