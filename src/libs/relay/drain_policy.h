#pragma once

#include <cstdint>
#include <string_view>

#include "base/monotonic_time.h"

namespace wagtailpick::relay {

/// Time that is kept at the end of the grace time for answers to be written and the process to
/// exit.
inline constexpr base::Duration kDrainEndMargin = std::chrono::milliseconds(300);

/// Why an attempt of a request is or is not started while the entry drains.
enum class DrainDecision : std::uint8_t {
  /// Started: its deadline comes before the entry stops.
  kEndsBeforeStop,
  /// Started: it is expected to end well before the entry stops.
  kExpectedBeforeStop,
  /// Not started: it may outlast the entry, and too much of the grace time has passed to rely on
  /// the expected time.
  kTooLate,
  /// Not started: it is not expected to end before the entry stops.
  kTooLong,
  /// Not started: it may outlast the entry, and its request cannot be sent again if it is cut.
  kNotRepeatable,
};

/// Returns the name of `decision` in logs.
std::string_view ToString(DrainDecision decision);

/// Whether the attempt is started.
constexpr bool IsStarted(DrainDecision decision) {
  return decision == DrainDecision::kEndsBeforeStop ||
         decision == DrainDecision::kExpectedBeforeStop;
}

/// An attempt of a request that could start now.
struct AttemptOutlook {
  /// Time until the request's deadline, when it is answered in any case.
  base::Duration time_left;
  /// Expected time of the attempt.
  base::Duration expected;
  /// Whether the request may be sent again if it is cut.
  bool idempotent;
};

/// Decides whether an entry that got the signal to stop `since_signal` ago, and is killed `grace`
/// after it, starts an attempt. Callers keep using a draining entry for as long as they cache its
/// address. A request that is refused can be sent to another entry, one that is cut may have run:
/// only idempotent requests start by their expected time.
DrainDecision DecideWhileDraining(base::Duration since_signal, base::Duration grace,
                                  const AttemptOutlook& attempt);

}  // namespace wagtailpick::relay
