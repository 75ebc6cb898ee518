// Replaces fsync of the program that it is linked into by one that stalls, on all threads but the
// first: a disk that stalls once the process has started.

#include <sys/syscall.h>
#include <unistd.h>

#include <chrono>
#include <iostream>
#include <thread>

namespace {

/// Longer than any test waits for the end of the process.
constexpr std::chrono::seconds kStall{60};

}  // namespace

extern "C" int fsync(int file) {
  const bool is_first_thread = syscall(SYS_gettid) == getpid();
  if (!is_first_thread) {
    std::cerr << "sync_stalled" << std::endl;
    std::this_thread::sleep_for(kStall);
  }
  return static_cast<int>(syscall(SYS_fsync, file));
}
