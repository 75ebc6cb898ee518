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
  /// A complete answer that reports that the upstream shed the request.
  kShed,
  /// No byte was sent and none will be. Does not count as an error of the upstream.
  kNotSent,
  /// The connection was refused before a byte was sent.
  kConnectRefused,
  /// No complete answer by the deadline.
  kTimedOut,
  /// Cancelled after bytes were sent. Does not count as an error of the upstream.
  kCancelled,
  /// The connection was lost, or the answer was truncated or belonged to another request.
  kLost,
};

/// Returns the outcome's name in logs and metrics.
std::string_view ToString(SlotOutcome outcome);

/// True when the request may still run at the upstream. Its slot is then in doubt and stays taken
/// until the deadline has passed on the upstream's clock.
bool LeavesSlotInDoubt(SlotOutcome outcome);

/// True when the outcome counts as an error of the upstream, for slow start and ejection.
bool IsUpstreamError(SlotOutcome outcome);

/// How a request that held a slot ended, and how long it took.
struct SlotResult {
  SlotOutcome outcome = SlotOutcome::kAnswered;
  /// Time from sending the request to the end of the answer.
  base::Duration latency{};
};

}  // namespace wagtailpick::admission
