#include <criterion/criterion.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "logging/log.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)

constexpr int kThreads = 4;
/// Time for which the threads write before `Stop` and after it.
constexpr std::chrono::milliseconds kWriteTime{100};

}  // namespace

// Guards against a thread that writes to the queue which `Stop` has destroyed, as threads that
// still run do when a process ends, and against a write that waits for `Stop`.
Test(logging, threads_write_while_the_log_stops) {
  std::string path = "/tmp/wagtailpick-log-XXXXXX";
  const int descriptor = mkstemp(path.data());
  cr_assert(descriptor >= 0);
  close(descriptor);
  cr_assert(logging::Start({"vm", "dc", path, true}).has_value());
  std::atomic<bool> ended = false;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&ended] {
      while (!ended) {
        logging::Write(logging::Level::kInfo, "event", "message");
        std::this_thread::yield();
      }
    });
  }
  std::this_thread::sleep_for(kWriteTime);
  logging::Stop();
  std::this_thread::sleep_for(kWriteTime);
  ended = true;
  for (auto& thread : threads) thread.join();
  std::ifstream file(path);
  std::size_t lines = 0;
  for (std::string line; std::getline(file, line); ++lines) cr_expect(nlohmann::json::accept(line));
  cr_expect(lines > 0);
  unlink(path.c_str());
}
