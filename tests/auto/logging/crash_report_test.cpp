#include "logging/crash_report.h"

#include <criterion/criterion.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <exception>
#include <functional>
#include <new>
#include <string>
#include <thread>

#include "logging/log.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)

/// How a process has ended, and what it has written to standard error.
struct ProcessEnd {
  int signal = 0;
  std::string output;
};

/// Time for the report and the end of a process.
constexpr std::chrono::seconds kMaxReportTime{5};

/// An exception whose report blocks for longer than `kMaxReportTime`, as that of one which was
/// thrown under the lock of the log's queue does.
class BlockingException : public std::exception {
 public:
  const char* what() const noexcept override {
    std::this_thread::sleep_for(2 * kMaxReportTime);
    return "blocked";
  }
};

/// Runs `crash` in a process with a crash report and a log on standard error.
ProcessEnd RunAndCrash(const std::function<void()>& crash) {
  std::array<int, 2> descriptors{};
  cr_assert(pipe(descriptors.data()) == 0);
  const pid_t child = fork();
  cr_assert(child >= 0);
  if (child == 0) {
    dup2(descriptors[1], STDERR_FILENO);
    logging::InstallCrashReport();
    if (logging::Start({"vm-7", "dc", "-", true})) crash();
    _exit(0);
  }
  close(descriptors[1]);
  ProcessEnd end;
  std::array<char, 4'096> buffer{};
  while (true) {
    const auto size = read(descriptors[0], buffer.data(), buffer.size());
    if (size <= 0) break;
    end.output.append(buffer.data(), static_cast<std::size_t>(size));
  }
  close(descriptors[0]);
  int status = 0;
  waitpid(child, &status, 0);
  end.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  return end;
}

}  // namespace

// Guards against a process that ends by an uncaught exception without a line in its log, which
// looks like a kill for too much memory.
Test(crash_report, logs_an_uncaught_exception_of_a_thread) {
  const auto end = RunAndCrash([] { std::thread([] { throw std::bad_alloc(); }).join(); });
  cr_expect(end.signal == SIGABRT);
  cr_expect(end.output.find("process_terminated") != std::string::npos);
  cr_expect(end.output.find("std::bad_alloc") != std::string::npos);
  cr_expect(end.output.find("vm-7") != std::string::npos);
}

// Guards against a process that never ends, as the report of its end waits for a lock that the
// thread holds itself.
Test(crash_report, ends_a_process_whose_report_is_blocked) {
  const auto start = std::chrono::steady_clock::now();
  const auto end = RunAndCrash([] { std::thread([] { throw BlockingException(); }).join(); });
  cr_expect(end.signal == SIGABRT);
  cr_expect(std::chrono::steady_clock::now() - start < kMaxReportTime);
}

// Guards against a process that ends by a fault in its memory without a line.
Test(crash_report, reports_a_fatal_signal) {
  const auto end = RunAndCrash([] { raise(SIGSEGV); });
  cr_expect(end.signal == SIGSEGV);
  cr_expect(end.output == "wagtailpick: ended by signal 11\n");
}
