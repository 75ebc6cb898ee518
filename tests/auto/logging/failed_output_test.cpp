#include <criterion/criterion.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>

#include "logging/log.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)

/// Longer than the pause between two batches of the background thread.
constexpr std::chrono::milliseconds kBatchTime{200};

/// Sets the largest size of a file that this process may write.
void LimitFileSize(rlim_t bytes) {
  rlimit limit{};
  cr_assert(getrlimit(RLIMIT_FSIZE, &limit) == 0);
  limit.rlim_cur = bytes;
  cr_assert(setrlimit(RLIMIT_FSIZE, &limit) == 0);
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

// Guards against a process that ends because its log file cannot grow, and against one that logs
// nothing once the file can grow again.
Test(logging, a_log_file_that_cannot_grow_does_not_end_the_process) {
  std::string path = (std::filesystem::temp_directory_path() / "wagtailpick-XXXXXX").string();
  const int file = mkstemp(path.data());
  cr_assert(file >= 0);
  close(file);
  cr_assert(logging::Start({"vm", "dc", path, true}).has_value());
  LimitFileSize(0);
  logging::Write(logging::Level::kInfo, "event", "lost");
  std::this_thread::sleep_for(kBatchTime);
  LimitFileSize(RLIM_INFINITY);
  logging::Write(logging::Level::kInfo, "event", "written");
  logging::Stop();
  const std::string content = ReadFile(path);
  cr_expect(content.find("written") != std::string::npos);
  cr_expect(content.find("log_lines_dropped") != std::string::npos);
  std::filesystem::remove(path);
}

// Guards against a process that ends because the reader of its standard output has ended.
Test(logging, a_closed_output_does_not_end_the_process) {
  std::array<int, 2> descriptors{};
  cr_assert(pipe(descriptors.data()) == 0);
  cr_assert(dup2(descriptors[1], STDOUT_FILENO) >= 0);
  close(descriptors[0]);
  cr_assert(logging::Start({"vm", "dc", "stdout", true}).has_value());
  logging::Write(logging::Level::kInfo, "event", "message");
  std::this_thread::sleep_for(kBatchTime);
  logging::Stop();
}
