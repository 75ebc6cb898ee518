#pragma once

#include <wagtailpick.pb.h>

#include <memory>
#include <string>

#include "base/monotonic_time.h"
#include "base/result.h"

namespace wagtailpick::rpc {

/// Blocking calls to one control replica, for programs that make a few calls and exit: no library
/// thread can still be in a callback when the program ends.
class OperatorClient {
 public:
  /// `address` is an IP address with a port.
  explicit OperatorClient(const std::string& address);
  ~OperatorClient();
  OperatorClient(const OperatorClient&) = delete;
  OperatorClient& operator=(const OperatorClient&) = delete;

  /// Each call ends within `timeout`. After an error the call may have been handled all the same.
  base::Result<SubmitReply> Submit(const SubmitRequest& request, base::Duration timeout);
  base::Result<StatusReply> Status(const StatusRequest& request, base::Duration timeout);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace wagtailpick::rpc
