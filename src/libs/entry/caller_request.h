#pragma once

#include <wagtailpick.pb.h>

#include <cstdint>
#include <string>

#include "base/result.h"
#include "entry/view.h"
#include "http/server.h"

namespace wagtailpick::entry {

/// A validated request of a caller to a service.
struct CallerRequest {
  /// The request as it is sent to the owner of an upstream.
  rpc::ForwardRequest forward;
  /// IP address of the caller.
  std::string caller_address;
  /// Empty for idempotent requests, which need no claim.
  std::string idempotency_key;
  /// Value of the `Authorization` header; empty if there is none.
  std::string authorization;
  /// Whether the service allows this method to run more than once.
  bool is_idempotent = true;
};

/// Validates a request to `/s/<service>/<rest>` and converts it to the form that is forwarded.
/// `wall_millis` is the current wall-clock time in Unix milliseconds. Fails with `kNotFound` if the
/// service is unknown, and with `kInvalidArgument` if the deadline header is malformed or a request
/// that is not idempotent has no valid idempotency key.
base::Result<CallerRequest> CheckCallerRequest(const http::Request& request, const View& view,
                                               std::int64_t wall_millis);

}  // namespace wagtailpick::entry
