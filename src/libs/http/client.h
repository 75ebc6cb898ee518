#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "base/monotonic_time.h"
#include "base/result.h"
#include "http/header.h"

namespace wagtailpick::http {

/// A request to an upstream.
struct ClientRequest {
  std::string method;
  /// Absolute URL with an IP address as its host.
  std::string url;
  Headers headers;
  std::string body;
  base::Duration timeout{0};
};

/// How one exchange with an upstream ended.
enum class ExchangeStatus {
  /// The answer arrived as a whole.
  kComplete,
  /// No byte of the request was sent.
  kNotSent,
  /// The connection was lost after the request may have been sent and before the answer was whole.
  kConnectionLost,
  /// The time ran out after the request may have been sent.
  kTimedOut,
  /// The answer broke the protocol or a limit.
  kBadAnswer,
  /// The exchange was cancelled after the request may have been sent.
  kCancelled,
};

/// Returns the status's name in logs and error bodies.
std::string_view ToString(ExchangeStatus status);

/// What came back.
struct Exchange {
  ExchangeStatus status = ExchangeStatus::kNotSent;
  int answer_status = 0;
  Headers headers;
  std::string body;
  /// Text of the library's error.
  std::string error;
  /// Time from the start to the end of the exchange.
  base::Duration duration{0};
};

/// Limits of a client.
struct ClientOptions {
  std::size_t max_body_bytes = 8UL * 1024 * 1024;
  std::size_t max_header_bytes = 64UL * 1024;
  /// Idle connections kept over all upstreams.
  long max_idle_connections = 512;
  base::Duration connect_timeout = std::chrono::milliseconds(500);
  /// Exchanges waiting to be taken up by the client's thread.
  std::size_t queue_capacity = 4'096;
};

/// HTTP/1.1 client with one thread for all exchanges.
///
/// A request is sent at most once: the library's own resend over a fresh connection, when a reused
/// one turns out to be closed, is stopped and reported as `kConnectionLost`.
class Client {
 public:
  /// Starts the thread. Fails with `kUnavailable` when the library can't be set up.
  static base::Result<std::unique_ptr<Client>> Start(const ClientOptions& options);

  /// Ends running exchanges as `kCancelled` and stops.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Starts an exchange; `done` is called exactly once on the client's thread. Returns false, and
  /// never calls `done`, when too many exchanges wait.
  bool Send(ClientRequest request, std::function<void(Exchange)> done);

 private:
  struct State;
  explicit Client(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace wagtailpick::http
