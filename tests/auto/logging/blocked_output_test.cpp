#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <string>
#include <thread>

#include "logging/log.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kLines = 20'000;
/// Limit for one call of `Write`: a request, which logs three lines, must not wait for the reader
/// of the output.
constexpr milliseconds kMaxWriteTime{100};
constexpr milliseconds kMaxStopTime{150};

/// Redirects the standard output of this process to a pipe that only `ReadAll` reads.
class Pipe {
 public:
  Pipe() {
    cr_assert(pipe(descriptors_.data()) == 0);
    cr_assert(dup2(descriptors_[1], STDOUT_FILENO) >= 0);
  }

  /// Reads until no data has arrived for half a second; returns all data.
  std::string ReadAll() {
    cr_assert(fcntl(descriptors_[0], F_SETFL, O_NONBLOCK) == 0);
    std::string content;
    std::array<char, 65'536> buffer{};
    auto quiet_since = steady_clock::now();
    while (steady_clock::now() - quiet_since < milliseconds(500)) {
      const auto length = read(descriptors_[0], buffer.data(), buffer.size());
      if (length > 0) {
        content.append(buffer.data(), static_cast<std::size_t>(length));
        quiet_since = steady_clock::now();
      } else {
        std::this_thread::sleep_for(milliseconds(5));
      }
    }
    return content;
  }

 private:
  std::array<int, 2> descriptors_{};
};

}  // namespace

// Guards against requests that are blocked while nobody reads the standard output, and against
// dropping lines without reporting it.
Test(logging, a_blocked_output_does_not_block_callers) {
  Pipe output;
  cr_assert(logging::Start({"vm", "dc", "stdout", true}).has_value());
  steady_clock::duration longest{};
  for (int i = 0; i < kLines; ++i) {
    const auto begin = steady_clock::now();
    logging::Write(logging::Level::kInfo, "request_ended", "served", {{"request_id", "r"}});
    longest = std::max(longest, steady_clock::now() - begin);
  }
  cr_expect(longest < kMaxWriteTime);
  const std::string content = output.ReadAll();
  cr_expect(content.find("log_lines_dropped") != std::string::npos);
  cr_expect(content.find("request_ended") != std::string::npos);
  // The exit of this process destroys objects that the background thread uses.
  logging::Stop();
}

// Guards against a process that is killed while it waits for its output: an entry that uses its
// whole grace time has 150 ms left for its last log lines and its exit.
Test(logging, a_stop_waits_for_a_blocked_output_for_a_short_time) {
  const Pipe output;
  cr_assert(logging::Start({"vm", "dc", "stdout", true}).has_value());
  for (int i = 0; i < kLines; ++i) logging::Write(logging::Level::kInfo, "event", "message");
  const auto begin = steady_clock::now();
  logging::Stop();
  cr_expect(steady_clock::now() - begin < kMaxStopTime);
}

// Guards against a process that does not exit after SIGTERM because nobody reads its standard
// output.
Test(logging, a_process_exits_in_time_when_its_output_is_blocked) {
  const Pipe output;
  const pid_t child = fork();
  cr_assert(child >= 0);
  if (child == 0) {
    const bool started = logging::Start({"vm", "dc", "stdout", true}).has_value();
    for (int i = 0; i < kLines; ++i) logging::Write(logging::Level::kInfo, "event", "message");
    logging::Stop();
    std::exit(started ? 0 : 1);
  }
  const auto deadline = steady_clock::now() + std::chrono::seconds(3);
  pid_t ended = 0;
  while (ended == 0 && steady_clock::now() < deadline) {
    std::this_thread::sleep_for(milliseconds(20));
    ended = waitpid(child, nullptr, WNOHANG);
  }
  if (ended == 0) {
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
  }
  cr_expect(ended == child);
}

// Guards against a thread that still runs when the log has stopped, and whose next line waits for
// the reader of the output.
Test(logging, a_write_after_the_stop_does_not_wait_for_a_blocked_output, .timeout = 10) {
  const Pipe output;
  cr_assert(logging::Start({"vm", "dc", "stdout", true}).has_value());
  for (int i = 0; i < kLines; ++i) logging::Write(logging::Level::kInfo, "event", "message");
  logging::Stop();
  const auto begin = steady_clock::now();
  logging::Write(logging::Level::kInfo, "event", "message");
  cr_expect(steady_clock::now() - begin < kMaxWriteTime);
}
