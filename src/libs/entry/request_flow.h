#pragma once

#include <vector>

#include "base/verdict.h"
#include "claims/claim_messages.h"
#include "entry/caller_request.h"
#include "entry/steering.h"
#include "http/server.h"

namespace wagtailpick::entry {

/// One caller's request on its way through the entry.
struct RequestFlow {
  CallerRequest request;
  http::ResponseSink sink;
  base::MonotonicTime started;
  int attempts = 0;
  Target target;
  base::MonotonicTime sent;
  /// Owners that have refused the request.
  std::vector<routing::OwnedPoolKey> attempted;
  /// Set for requests with an idempotency key.
  claims::ClaimRequest claim;
  bool claimed = false;
};

}  // namespace wagtailpick::entry
