#include "settings/command_line.h"

#include <docopt/docopt.h>

#include <iostream>
#include <vector>

namespace wagtailpick::settings {

int RunCommandLine(const CommandLine& command_line, int argc, char** argv,
                   const std::function<int(const Arguments&)>& run) {
  const std::vector<std::string> argument_list(argv + 1, argv + argc);
  Arguments arguments;
  try {
    arguments = docopt::docopt_parse(command_line.usage, argument_list, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << command_line.usage;
    return 0;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << command_line.program << " " << command_line.version << "\n";
    return 0;
  } catch (const std::exception& error) {
    std::cerr << command_line.program << ": " << error.what() << "\n" << command_line.usage;
    return kExitWrongInput;
  }
  return run(arguments);
}

}  // namespace wagtailpick::settings
