#pragma once

#include <wagtailpick.pb.h>

#include <memory>
#include <string>

#include "base/monotonic_time.h"
#include "base/result.h"

namespace wagtailpick::rpc {

/// Blocking client of one control replica, for command-line programs. Unlike with `Client`, no gRPC
/// thread can still run a callback when the program exits.
class OperatorClient {
 public:
  /// Creates a client for `address`, an IP address with a port.
  explicit OperatorClient(const std::string& address);
  ~OperatorClient();
  OperatorClient(const OperatorClient&) = delete;
  OperatorClient& operator=(const OperatorClient&) = delete;

  /// Sends the request and waits for the reply for up to `timeout`. Fails with the error of the
  /// call, see `ToError`; the replica may have handled a failed call.
  base::Result<SubmitReply> Submit(const SubmitRequest& request, base::Duration timeout);
  base::Result<StatusReply> Status(const StatusRequest& request, base::Duration timeout);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace wagtailpick::rpc
