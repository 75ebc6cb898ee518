#include "logging/crash_report.h"

#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>
#include <string_view>

#include "logging/log.h"

namespace wagtailpick::logging {
namespace {

constexpr std::array kFatalSignals{SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGSEGV};
constexpr int kDecimalBase = 10;
/// The report takes locks, which the failed thread may hold itself; then it never returns.
constexpr unsigned kMaxReportSeconds = 1;

std::string DescribeException() {
  const auto exception = std::current_exception();
  if (exception == nullptr) return "terminated without an exception";
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "an exception of an unknown type";
  }
}

void AbortAfter(unsigned seconds) {
  std::signal(SIGALRM, [](int /*signal*/) { std::abort(); });
  sigset_t alarm_signal;
  sigemptyset(&alarm_signal);
  sigaddset(&alarm_signal, SIGALRM);
  pthread_sigmask(SIG_UNBLOCK, &alarm_signal, nullptr);
  alarm(seconds);
}

[[noreturn]] void ReportTermination() {
  // A second exception ends the process at once.
  std::set_terminate(std::abort);
  AbortAfter(kMaxReportSeconds);
  Write(Level::kError, "process_terminated", DescribeException());
  Stop();
  std::abort();
}

// Runs in a signal handler, which may not allocate or take locks.
void WriteToStandardError(std::string_view text) {
  const auto written = write(STDERR_FILENO, text.data(), text.size());
  static_cast<void>(written);
}

// The action of the signal is the default one again, and it is raised once the handler returns.
void ReportSignal(int signal) {
  const std::array digits{static_cast<char>('0' + signal / kDecimalBase),
                          static_cast<char>('0' + signal % kDecimalBase), '\n'};
  WriteToStandardError("wagtailpick: ended by signal ");
  WriteToStandardError({digits.data(), digits.size()});
  raise(signal);
}

}  // namespace

void InstallCrashReport() {
  std::set_terminate(ReportTermination);
  struct sigaction action {};
  action.sa_handler = ReportSignal;
  action.sa_flags = static_cast<int>(SA_RESETHAND);
  for (const int signal : kFatalSignals) sigaction(signal, &action, nullptr);
}

}  // namespace wagtailpick::logging
