#pragma once

#include <string>

#include "admission/slot_outcome.h"
#include "base/verdict.h"
#include "http/client.h"

namespace wagtailpick::entry {

/// What one exchange with an upstream means for its request and its slot.
struct ExchangeOutcome {
  base::Verdict verdict = base::Verdict::kNotRun;
  admission::SlotOutcome slot_outcome = admission::SlotOutcome::kNotSent;
  /// Empty when the upstream answered; otherwise the cause, such as "connection_lost".
  std::string reason;
  /// The upstream may have died of the request.
  bool is_strike = false;
};

/// Judges an exchange for the request `request_id`. Only a whole answer that doesn't name another
/// request counts as run; "not run" needs that no byte was sent or that the upstream says so.
ExchangeOutcome ClassifyExchange(const http::Exchange& exchange, const std::string& request_id);

}  // namespace wagtailpick::entry
