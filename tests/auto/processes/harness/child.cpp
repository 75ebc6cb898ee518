#include "harness/child.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

#include "harness/expect.h"

namespace wagtailpick::processes {
namespace {

constexpr int kExecFailedExitCode = 127;

int OpenOutput(const std::string& path) {
  return open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

}  // namespace

Child::Child(const std::vector<std::string>& words, const std::string& stdout_file,
             const std::string& stderr_file) {
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (const auto& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  const int out = OpenOutput(stdout_file);
  const int err = OpenOutput(stderr_file);
  Expect(out >= 0 && err >= 0, "can't open " + stdout_file + " or " + stderr_file);
  pid_ = fork();
  if (pid_ == 0) {
    // Only async-signal-safe calls are allowed here, as the parent has several threads.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(out, STDOUT_FILENO);
    dup2(err, STDERR_FILENO);
    // An inherited socket of a stand-in would keep its connection open after the stand-in has
    // closed it.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(arguments[0], arguments.data());
    _exit(kExecFailedExitCode);
  }
  close(out);
  close(err);
  Expect(pid_ > 0, "can't start " + words.front());
}

Child::~Child() { Kill(); }

void Child::Signal(int signal) const {
  if (!status_) kill(pid_, signal);
}

// On a busy machine a thread goes on for some milliseconds after `kill` has returned, and may still
// answer a request.
void Child::Pause() const {
  Signal(SIGSTOP);
  WaitUntil("a process stops", [this] {
    siginfo_t info{};
    return waitid(P_PID, static_cast<id_t>(pid_), &info, WSTOPPED | WNOHANG) == 0 &&
           info.si_pid == pid_;
  });
}

void Child::Kill() {
  Signal(SIGKILL);
  if (status_) return;
  int status = 0;
  waitpid(pid_, &status, 0);
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::optional<int> Child::TryReap() {
  int status = 0;
  if (!status_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return status_;
}

int Child::Wait() {
  WaitUntil("a process ends", [this] { return TryReap().has_value(); });
  return *status_;
}

}  // namespace wagtailpick::processes
