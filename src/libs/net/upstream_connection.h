#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/endpoint.h"
#include "base/monotonic_time.h"
#include "net/http_parser_state.h"

namespace wagtailpick::net {

/// Outcome of an exchange with an upstream.
enum class ExchangeOutcome : std::uint8_t {
  /// A complete answer was received.
  kAnswered,
  /// Connecting failed, so no byte of the request was sent.
  kNotConnected,
  /// The connection was open, but no byte of the request was written: `may_send` returned false, or
  /// the connection had been lost before.
  kNotSent,
  /// The connection was lost before a complete answer, or the answer was malformed or exceeded a
  /// limit. The upstream may have run the request.
  kBroken,
  /// The upstream answers, but there is no memory for its answer, which declares its length. It has
  /// run the request.
  kNoMemory,
};

/// Returns the name of `outcome` in logs.
std::string_view ToString(ExchangeOutcome outcome);

/// Result of an exchange; `response` is set only for `kAnswered`.
struct ExchangeResult {
  ExchangeOutcome outcome = ExchangeOutcome::kBroken;
  http::Response response;
  /// Whether any byte of the answer was received.
  bool answer_started = false;
  /// Whether the connection was kept open from an earlier exchange.
  bool reused = false;
  /// Time taken to connect; zero when the connection was reused or not established.
  base::Duration connect_time{};
  /// Error text for logs; empty for `kAnswered`.
  std::string detail;
};

/// A request to an upstream.
struct OutboundRequest {
  /// Serialized head.
  std::string head;
  /// Body; null for none. Attempts share it with the caller's request.
  std::shared_ptr<const std::string> body;
  /// Whether it is a HEAD request.
  bool is_head = false;
};

/// One connection to an upstream, which runs one exchange at a time. Not thread-safe.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  using Done = std::function<void(ExchangeResult)>;

  /// Counts the bodies of answers in `memory`; null counts none.
  UpstreamConnection(asio::io_context& loop, const base::Endpoint& endpoint,
                     const MessageLimits& limits,
                     std::shared_ptr<base::MemoryBudget> memory = nullptr);

  /// Connects if necessary, sends `request` and calls `done` once with the result, unless `Close`
  /// is called before.
  void Exchange(OutboundRequest request, Done done);

  /// Called with this connection when it is ready for another exchange.
  std::function<void(const std::shared_ptr<UpstreamConnection>&)> on_idle;

  /// Called once after a new connection is established, before the request is sent. If it returns
  /// false, the exchange ends with `kNotSent`. Not called on a reused connection.
  std::function<bool()> may_send;

  /// Called with the head of the answer to the running exchange before its body has arrived. If it
  /// returns false, the exchange ends at once with the head as its answer, and the connection is
  /// closed: an answer that is not passed on may never end.
  std::function<bool(const http::Response& head)> wants_body;

  /// Closes the connection without calling `done` for a running exchange, and resets it then: bytes
  /// of the request that have not been delivered are not sent any more, and most upstreams abandon
  /// it.
  void Close();

  /// Whether the connection has been opened. `Exchange` then writes its request at once.
  bool connected() const { return connected_; }
  /// Whether the connection is open and ready for another exchange. Asks the kernel, as the loop
  /// may not have handled its end yet.
  bool usable() { return connected_ && !closed_ && !done_ && !HasInput(); }
  /// Time of the last completed exchange; initially the time of construction.
  base::MonotonicTime idle_since() const { return idle_since_; }
  /// Time for which the upstream keeps an idle connection open, from its last `Keep-Alive` field; 5
  /// s if it sent none.
  base::Duration keep_alive() const { return keep_alive_; }

 private:
  /// Whether the upstream has closed the connection or sent bytes that have not been read.
  bool HasInput();
  void Connect();
  void Send();
  void HandleWritten(asio::error_code error, std::size_t length);
  void Read();
  void CheckHead();
  void HandleNoMemory();
  void HandleBytes(std::string_view bytes);
  /// Returns why the answer can't be read, for logs.
  std::string DescribeParseError() const;
  void HandleReadError(asio::error_code error);
  /// Whether the end of the stream that a read has reported is one that the upstream sent.
  bool IsSoundEnd() const;
  void Complete(bool reusable);
  /// Ends the exchange without an answer. While the request is being written, waits until it is
  /// known whether a byte of it was written.
  void Fail(ExchangeOutcome outcome, std::string detail);
  void CloseSocket();
  /// Makes the close of the socket discard what has not been delivered.
  void ResetOnClose();
  /// Sets `keep_alive_` from the `Keep-Alive` field of the answer.
  void ReadKeepAlive();

  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  base::Endpoint endpoint_;
  HttpParserState parser_;
  std::array<char, 8'192> buffer_{};
  OutboundRequest output_;
  Done done_;
  bool connected_ = false;
  bool closed_ = false;
  bool writing_ = false;
  /// Error of the write of the request, if it failed.
  asio::error_code write_error_;
  /// End of the exchange that waits for the end of the write.
  std::optional<std::pair<ExchangeOutcome, std::string>> pending_failure_;
  bool reading_ = false;
  bool reused_ = false;
  /// `wants_body` was called for the answer, or there is nothing to ask.
  bool head_checked_ = false;
  int interim_answers_ = 0;
  base::MonotonicTime connect_started_;
  base::Duration connect_time_{};
  base::MonotonicTime idle_since_;
  base::Duration keep_alive_;
};

}  // namespace wagtailpick::net
