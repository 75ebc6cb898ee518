#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/endpoint.h"
#include "base/monotonic_time.h"
#include "net/http_parser_state.h"

namespace wagtailpick::net {

/// How an exchange with an upstream ended.
enum class ExchangeOutcome : std::uint8_t {
  /// A whole answer came.
  kAnswered,
  /// No byte left: the connection couldn't be made.
  kNotConnected,
  /// The connection ended without a whole answer, or with bytes that are none.
  kBroken,
};

std::string_view ToString(ExchangeOutcome outcome);

struct ExchangeResult {
  ExchangeOutcome outcome = ExchangeOutcome::kBroken;
  http::Response response;
  /// Whether a byte of the answer had come.
  bool answer_started = false;
  /// The connection was kept from an earlier exchange.
  bool reused = false;
  /// How long the connection took; zero when it was reused or not made.
  base::Duration connect_time{};
  /// What the socket or the parser said.
  std::string detail;
};

/// One connection to an upstream, with one exchange at a time.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  using Done = std::function<void(ExchangeResult)>;

  UpstreamConnection(asio::io_context& loop, const base::Endpoint& endpoint,
                     const MessageLimits& limits);

  /// Sends a rendered request and calls `done` once, unless the connection is closed before.
  void Exchange(std::string bytes, bool head, Done done);

  /// Called with this connection once it can take another exchange.
  std::function<void(const std::shared_ptr<UpstreamConnection>&)> on_idle;

  /// Asked when a new connection is made and before a byte of the request leaves; without it, or
  /// when it returns true, the request is sent.
  std::function<bool()> may_send;

  /// Ends the connection; a running exchange gets no result. Most upstreams then drop its request.
  void Close();

  /// True while it can take another exchange.
  bool usable() const { return connected_ && !closed_ && !done_; }
  base::MonotonicTime idle_since() const { return idle_since_; }
  /// How long the upstream keeps an idle connection, as far as it said.
  base::Duration keep_alive() const { return keep_alive_; }

 private:
  void Connect();
  void Send();
  void Read();
  void TakeBytes(std::string_view bytes);
  void TakeEnd(asio::error_code error);
  void Complete(bool reusable);
  void Fail(ExchangeOutcome outcome, std::string detail);
  void NoteKeepAlive();

  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  base::Endpoint endpoint_;
  HttpParserState parser_;
  std::array<char, 8'192> buffer_{};
  std::string output_;
  Done done_;
  bool connected_ = false;
  bool closed_ = false;
  bool writing_ = false;
  bool reading_ = false;
  bool reused_ = false;
  bool head_ = false;
  int interim_answers_ = 0;
  base::MonotonicTime connect_started_;
  base::Duration connect_time_{};
  base::MonotonicTime idle_since_;
  base::Duration keep_alive_;
};

}  // namespace wagtailpick::net
