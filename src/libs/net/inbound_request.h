#pragma once

#include <functional>
#include <memory>

#include "base/monotonic_time.h"
#include "http/framing.h"
#include "http/message.h"
#include "net/http_parser_state.h"

namespace wagtailpick::net {

/// A request that the listener answers itself, as it can't be read.
struct UnreadRequest {
  /// What was read of its head.
  http::Request head;
  int status = 0;
  ParseError error = ParseError::kNone;
  /// Why the end of the request is not certain; none for other errors.
  http::FramingError framing_error = http::FramingError::kNone;
};

/// A complete request received from a client. The handler calls `Answer` or `Abort` exactly once,
/// unless `on_client_left` is called first; after that both have no effect.
class InboundRequest {
 public:
  virtual ~InboundRequest() = default;

  http::Request request;
  /// Time at which the last byte was received.
  base::MonotonicTime received_at;

  /// Sends `response`.
  virtual void Answer(http::Response response) = 0;
  /// Closes the connection without an answer.
  virtual void Abort() = 0;

  /// Called when the client ends its stream before the answer is given: it has closed the
  /// connection, or has nothing more to send and waits for the answer. The two look alike until
  /// something is written. Returns whether the request goes on; its answer is then written if the
  /// connection still takes it, and `on_client_left` still tells of a reset. If unset or false, the
  /// connection is closed and `on_client_left` is called.
  std::function<bool()> continues_after_half_close;
  /// Called when the client's connection is lost before the answer is given.
  std::function<void()> on_client_left;
};

/// Handles complete requests. The requests of one connection are passed on one at a time.
using InboundHandler = std::function<void(std::shared_ptr<InboundRequest>)>;

}  // namespace wagtailpick::net
