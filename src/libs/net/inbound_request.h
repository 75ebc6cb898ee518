#pragma once

#include <functional>
#include <memory>

#include "base/monotonic_time.h"
#include "http/message.h"

namespace wagtailpick::net {

/// One whole request of a client. Whoever serves it answers exactly once, or is told that the
/// client has left, after which an answer has no effect.
class InboundRequest {
 public:
  virtual ~InboundRequest() = default;

  http::Request request;
  /// When the last byte came.
  base::MonotonicTime received_at;

  /// Sends the answer.
  virtual void Answer(http::Response response) = 0;
  /// Ends the connection without an answer.
  virtual void Abort() = 0;

  /// Called when the client closes its connection before the answer.
  std::function<void()> on_client_left;
};

/// Serves whole requests, one at a time on each connection.
using InboundHandler = std::function<void(std::shared_ptr<InboundRequest>)>;

}  // namespace wagtailpick::net
