#pragma once

#include <wagtailpick.pb.h>

#include <cstdint>
#include <string>

#include "base/result.h"
#include "entry/view.h"
#include "http/server.h"

namespace wagtailpick::entry {

/// A caller's request to a service, checked.
struct CallerRequest {
  rpc::ForwardRequest forward;
  std::string caller_address;
  /// Empty for requests that may run more than once.
  std::string idempotency_key;
  /// The caller's `Authorization` header; empty when there is none.
  std::string authorization;
  bool is_idempotent = true;
};

/// Checks a request to `/s/<service>/<rest>` and fills in what upstreams are sent. Fails with
/// `kNotFound` for an unknown service and `kInvalidArgument` for bad input. `wall_millis` is the
/// current wall-clock time.
base::Result<CallerRequest> CheckCallerRequest(const http::Request& request, const View& view,
                                               std::int64_t wall_millis);

}  // namespace wagtailpick::entry
