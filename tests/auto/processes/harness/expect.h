#pragma once

#include <chrono>
#include <functional>
#include <string>

namespace wagtailpick::processes {

/// Longest wait for a condition; far above what a busy machine needs, so that only a fault uses it.
constexpr std::chrono::seconds kWaitLimit{60};

/// Throws when `condition` is false. An exception unwinds the test, so that every process it
/// started is killed and reaped, which Criterion's own assertions don't do.
void Expect(bool condition, const std::string& message);

/// Polls until `condition` holds; throws with `what` after `kWaitLimit`.
void WaitUntil(const std::string& what, const std::function<bool()>& condition);

/// Runs the body of a test; an exception makes the test fail with its text.
void RunTest(const std::function<void()>& body);

}  // namespace wagtailpick::processes
