#pragma once

#include <chrono>
#include <functional>
#include <string>

namespace wagtailpick::processes {

/// Timeout for a condition; far above what a busy machine needs, so that only a fault reaches it.
constexpr std::chrono::seconds kWaitLimit{60};

/// Throws `std::runtime_error` with `message` if `condition` is false. The exception unwinds the
/// test, so that every process it started is killed and reaped; Criterion's own assertions do not
/// unwind.
void Expect(bool condition, const std::string& message);

/// Polls until `condition` holds; throws an error that names `what` after `kWaitLimit`.
void WaitUntil(const std::string& what, const std::function<bool()>& condition);

/// Runs the body of a test; an exception fails the test with the exception's text.
void RunTest(const std::function<void()>& body);

}  // namespace wagtailpick::processes
