#pragma once

namespace wagtailpick::tool {

/// Exit codes of the operator's command.
enum ExitCode {
  kExitDone = 0,
  /// The system refused or can't be reached.
  kExitRefused = 1,
  /// Wrong arguments, files or bundle content.
  kExitWrongInput = 2,
};

}  // namespace wagtailpick::tool
