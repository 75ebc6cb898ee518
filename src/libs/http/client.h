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
  /// Limit for the whole exchange, including connecting; at least 1 ms is used.
  base::Duration timeout{0};
};

/// Outcome of an exchange with an upstream.
enum class ExchangeStatus {
  /// The complete answer was received.
  kComplete,
  /// No byte of the request was sent.
  kNotSent,
  /// The connection was lost after the request may have been sent and before the answer was
  /// complete.
  kConnectionLost,
  /// The timeout expired after the request may have been sent.
  kTimedOut,
  /// The answer violated the protocol or exceeded a limit.
  kBadAnswer,
  /// The exchange was cancelled after the request may have been sent.
  kCancelled,
};

/// Returns the name of `status` in logs and error bodies.
std::string_view ToString(ExchangeStatus status);

/// Result of an exchange.
struct Exchange {
  ExchangeStatus status = ExchangeStatus::kNotSent;
  /// HTTP status code; 0 if none was received.
  int answer_status = 0;
  Headers headers;
  std::string body;
  /// Error text of libcurl or of the client, for logs; may be empty.
  std::string error;
  /// Duration of the exchange, without the time in the client's queue.
  base::Duration duration{0};
};

/// Limits of a client; an answer that exceeds one in bytes ends as `kBadAnswer`.
struct ClientOptions {
  std::size_t max_body_bytes = 8UL * 1024 * 1024;
  std::size_t max_header_bytes = 64UL * 1024;
  /// Limit of idle connections, over all upstreams.
  long max_idle_connections = 512;
  base::Duration connect_timeout = std::chrono::milliseconds(500);
  /// Limit of exchanges that wait for the client's thread.
  std::size_t queue_capacity = 4'096;
};

/// HTTP/1.1 client based on libcurl, with one thread for all exchanges. Thread-safe.
///
/// A request is sent at most once: when a reused connection turns out to be closed, libcurl would
/// resend the request over a new one; this is prevented and reported as `kConnectionLost`.
class Client {
 public:
  /// Starts the thread. Fails with `kUnavailable` when libcurl cannot be initialized.
  static base::Result<std::unique_ptr<Client>> Start(const ClientOptions& options);

  /// Stops the client. Running exchanges end as `kCancelled`, or as `kNotSent` if no byte was sent.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Starts an exchange; `done` is called exactly once on the client's thread. Returns false, and
  /// never calls `done`, when `queue_capacity` exchanges already wait.
  bool Send(ClientRequest request, std::function<void(Exchange)> done);

 private:
  struct State;
  explicit Client(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace wagtailpick::http
