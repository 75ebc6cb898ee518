#pragma once

#include <string>

#include "admission/slot_outcome.h"
#include "base/verdict.h"
#include "http/client.h"

namespace wagtailpick::entry {

/// Outcome of one HTTP exchange with an upstream for its request and its slot.
struct ExchangeOutcome {
  /// Whether the request has run.
  base::Verdict verdict = base::Verdict::kNotRun;
  admission::SlotOutcome slot_outcome = admission::SlotOutcome::kNotSent;
  /// Cause of the failure, such as "connection_lost"; empty if the upstream answered.
  std::string reason;
  /// Whether the upstream may have crashed because of the request.
  bool is_strike = false;
};

/// Classifies an exchange for the request `request_id`. The verdict is "ran" only for a complete
/// answer that does not carry the ID of another request, and "not run" only if no byte was sent or
/// the upstream shed the request.
ExchangeOutcome ClassifyExchange(const http::Exchange& exchange, const std::string& request_id);

}  // namespace wagtailpick::entry
