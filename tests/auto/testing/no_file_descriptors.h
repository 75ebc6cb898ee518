#pragma once

#include <sys/resource.h>
#include <unistd.h>

namespace wagtailpick::testing {

/// Leaves the process no further file descriptor until it is destroyed.
class NoFileDescriptors {
 public:
  NoFileDescriptors() {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int lowest_free = dup(STDERR_FILENO);
    close(lowest_free);
    auto none = before_;
    none.rlim_cur = static_cast<rlim_t>(lowest_free);
    setrlimit(RLIMIT_NOFILE, &none);
  }
  ~NoFileDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
  NoFileDescriptors(const NoFileDescriptors&) = delete;
  NoFileDescriptors& operator=(const NoFileDescriptors&) = delete;

 private:
  rlimit before_{};
};

}  // namespace wagtailpick::testing
