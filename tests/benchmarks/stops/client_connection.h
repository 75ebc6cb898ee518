#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/monotonic_time.h"
#include "http/message.h"

namespace wagtailpick::stops {

/// How an exchange on a connection ended.
enum class Ending { kAnswered, kClosed, kReset, kTimedOut, kNotConnected };

std::string_view ToString(Ending ending);

/// Result of one exchange.
struct ExchangeResult {
  Ending ending = Ending::kNotConnected;
  std::optional<http::Response> response;
  bool keeps_open = false;
  /// Bytes of an answer that did not come whole.
  std::size_t partial_bytes = 0;
  /// When the last byte of the request was sent; empty if it was not sent whole.
  std::optional<base::MonotonicTime> sent_at;
};

/// A caller's connection, with blocking calls.
class ClientConnection {
 public:
  explicit ClientConnection(std::string address);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  bool Connect(base::Duration timeout);
  /// Whether the other side has closed the connection or sent bytes that nobody asked for.
  bool IsSpent() const;
  /// Sends the parts of a request, with `pause` between them, and waits for the answer. Stops to
  /// send when an answer comes first. `half_close` shuts down the sending side after the request.
  /// Calls `on_answer_began` when the first bytes of the answer are there.
  ExchangeResult Exchange(const std::vector<std::string>& parts, base::Duration pause,
                          bool half_close, base::MonotonicTime end,
                          const std::function<void()>& on_answer_began);
  const std::string& address() const { return address_; }

 private:
  bool Wait(short events, base::MonotonicTime end) const;
  bool Send(const std::string& bytes, base::MonotonicTime end) const;
  void Receive(ExchangeResult& result, base::MonotonicTime end,
               const std::function<void()>& on_answer_began) const;

  std::string address_;
  int descriptor_;
};

}  // namespace wagtailpick::stops
