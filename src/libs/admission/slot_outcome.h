#pragma once

#include <string_view>

#include "base/monotonic_time.h"

namespace wagtailpick::admission {

/// How a request that held a slot ended.
enum class SlotOutcome {
  /// A complete answer without a server error.
  kAnswered,
  /// A complete answer with a server error.
  kErrorAnswer,
  /// A complete answer that says that the upstream shed the request.
  kShed,
  /// No byte was sent, and none will be; not the upstream's fault.
  kNotSent,
  /// The connection was refused before a byte was sent.
  kConnectRefused,
  /// No complete answer by the deadline.
  kTimedOut,
  /// Cancelled after bytes were sent; not the upstream's fault.
  kCancelled,
  /// The connection was lost, or the answer was truncated or didn't match.
  kLost,
};

/// Returns the outcome's name in logs and metrics.
std::string_view ToString(SlotOutcome outcome);

/// True when the request may still run at the upstream, so that its slot stays taken until the
/// deadline has passed there.
bool LeavesSlotInDoubt(SlotOutcome outcome);

/// True when the outcome counts as an error of the upstream.
bool IsUpstreamError(SlotOutcome outcome);

/// Outcome with the time from dispatch to the end of the answer.
struct SlotResult {
  SlotOutcome outcome = SlotOutcome::kAnswered;
  base::Duration latency{};
};

}  // namespace wagtailpick::admission
