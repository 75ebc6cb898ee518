#pragma once

namespace wagtailpick::tool {

/// Exit codes of the `wagtailpick` tool.
enum ExitCode {
  /// The command succeeded.
  kExitDone = 0,
  /// The system refused the command or could not be reached, or no data matched.
  kExitRefused = 1,
  /// Invalid arguments, files or bundle content.
  kExitWrongInput = 2,
};

}  // namespace wagtailpick::tool
