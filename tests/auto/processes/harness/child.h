#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace wagtailpick::processes {

/// A child process of the test. The destructor kills and reaps it.
///
/// Start children from the test's main thread only: the kernel kills a child when the thread that
/// started it ends (PR_SET_PDEATHSIG), so that no child outlives a crashed test.
class Child {
 public:
  /// Runs `words[0]` with the other words as arguments and appends its output to the two files.
  /// Throws if a file cannot be opened or the fork fails; a failed exec gives exit code 127.
  Child(const std::vector<std::string>& words, const std::string& stdout_file,
        const std::string& stderr_file);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  /// Sends `signal` unless the process has been reaped.
  void Signal(int signal) const;

  /// Sends SIGSTOP and waits until all threads of the process have stopped. Throws after
  /// `kWaitLimit`.
  void Pause() const;

  /// Kills the process by SIGKILL and reaps it.
  void Kill();

  /// Reaps the process if it has ended. Returns its exit code, or the negated number of the signal
  /// that ended it, or `nullopt` while it runs.
  std::optional<int> TryReap();

  /// Waits for the process to end and returns the same value as `TryReap`; throws after
  /// `kWaitLimit`.
  int Wait();

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace wagtailpick::processes
