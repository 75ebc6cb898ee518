#include "harness/expect.h"

#include <stdexcept>
#include <thread>

namespace wagtailpick::processes {
namespace {

constexpr std::chrono::milliseconds kPollInterval{20};

}  // namespace

void Expect(bool condition, const std::string& message) {
  if (!condition) throw std::runtime_error(message);
}

void WaitUntil(const std::string& what, const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kWaitLimit;
  while (!condition()) {
    Expect(std::chrono::steady_clock::now() < end, "timed out waiting until " + what);
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace wagtailpick::processes
