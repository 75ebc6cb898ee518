#pragma once

#include <vector>

#include "base/verdict.h"
#include "claims/claim_messages.h"
#include "entry/caller_request.h"
#include "entry/steering.h"
#include "http/server.h"

namespace wagtailpick::entry {

/// State of one caller's request from its receipt until its answer.
struct RequestFlow {
  CallerRequest request;
  http::ResponseSink sink;
  base::MonotonicTime started;
  /// Number of attempts, including the running one.
  int attempts = 0;
  /// Target of the last attempt, which was sent at `sent`.
  Target target;
  base::MonotonicTime sent;
  /// Targets that have refused the request.
  std::vector<Target> attempted;
  /// Set for requests with an idempotency key.
  claims::ClaimRequest claim;
  /// Whether the claim was granted.
  bool claimed = false;
  /// Whether the caller got its answer. Replies that come later are ignored.
  bool answered = false;
};

}  // namespace wagtailpick::entry
