#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace wagtailpick::processes {

/// A process that the test started. The destructor kills and reaps it.
///
/// Start children from the test's main thread only: the kernel kills them when the thread that
/// started them ends, so that none outlives a test that crashes.
class Child {
 public:
  /// Runs `words[0]` with the other words as arguments; its output goes to two files.
  Child(const std::vector<std::string>& words, const std::string& stdout_file,
        const std::string& stderr_file);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  /// Sends a signal.
  void Signal(int signal) const;

  /// Kills the process by SIGKILL and reaps it.
  void Kill();

  /// Reaps the process when it has ended. Returns its exit code, minus the signal that ended it, or
  /// nothing while it runs.
  std::optional<int> TryReap();

  /// Waits for the end of the process and returns what `TryReap` does.
  int Wait();

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace wagtailpick::processes
