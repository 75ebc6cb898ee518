#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "base/monotonic_time.h"
#include "http/message.h"
#include "net/http_parser_state.h"

namespace wagtailpick::soak {

/// How a client sends a request.
struct SendStyle {
  /// Whether the body is sent in chunks instead of with a length.
  bool chunked = false;
  /// Number of parts in which the bytes are sent, with `pause` between them.
  std::size_t parts = 1;
  std::chrono::milliseconds pause{0};
  /// Whether the client closes its sending half after the request.
  bool half_close = false;
};

enum class CallEnd : std::uint8_t {
  kAnswered,
  /// The connection ended without a complete answer.
  kClosed,
  /// The client stopped waiting.
  kTimeout,
};

struct CallResult {
  CallEnd end = CallEnd::kClosed;
  /// The answer, if `end` is `kAnswered`.
  http::Response response;
  /// When the first and the last byte of the request were sent, and when the call ended.
  base::MonotonicTime sent_at;
  base::MonotonicTime sent_whole_at;
  base::MonotonicTime ended_at;
};

/// The client side of one HTTP/1.1 connection, which may serve several requests. Calls block.
class ClientConnection {
 public:
  /// Connects to `address` (IP:PORT). Returns null if the address is invalid, the connection is
  /// refused or `timeout` passes.
  static std::unique_ptr<ClientConnection> Connect(const std::string& address,
                                                   base::Duration timeout);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /// Sends `request` and waits for the complete answer until `timeout` has passed. A request with
  /// neither a body nor a Content-Length is sent without one.
  CallResult Call(const http::Request& request, const SendStyle& style, base::Duration timeout);

  /// Whether the next request may be sent on this connection.
  bool usable() const { return usable_; }
  /// Number of requests that were sent.
  std::size_t requests() const { return requests_; }

 private:
  using Clock = std::chrono::steady_clock;

  explicit ClientConnection(int descriptor) : descriptor_(descriptor) {}

  /// Waits until the socket is ready for `events` (as for poll); returns false once `end` has
  /// passed.
  bool Wait(short events, Clock::time_point end) const;
  bool FinishConnect(Clock::time_point end) const;
  bool SendPart(std::string_view bytes, Clock::time_point end) const;
  bool Send(const std::string& bytes, const SendStyle& style, Clock::time_point end) const;
  CallEnd Receive(http::Response& response, Clock::time_point end);

  int descriptor_;
  bool usable_ = true;
  std::size_t requests_ = 0;
};

}  // namespace wagtailpick::soak
