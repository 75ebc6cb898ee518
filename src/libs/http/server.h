#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "base/endpoint.h"
#include "base/monotonic_time.h"
#include "base/result.h"
#include "http/message.h"

namespace wagtailpick::http {

/// Sends the answer to one request; called exactly once, on any thread.
using ResponseSink = std::function<void(Response)>;

/// Handles one request. Called on a server thread, so it must not block. An exception costs the
/// request only.
using RequestHandler = std::function<void(Request, ResponseSink)>;

/// Address and limits of a server.
struct ServerOptions {
  base::Endpoint endpoint;
  std::size_t threads = 1;
  std::size_t max_body_bytes = 8UL * 1024 * 1024;
  std::size_t max_header_count = 100;
  std::size_t max_header_bytes = 8UL * 1024;
  std::size_t max_target_bytes = 8UL * 1024;
  std::size_t max_connections = 4'096;
  /// Longest time for receiving a complete request; also the longest idle time of a connection.
  base::Duration read_timeout = std::chrono::seconds(10);
  /// Longest time from a request to its answer.
  base::Duration handle_timeout = std::chrono::seconds(30);
  /// Called, on any thread, with the cause when a handler has thrown or has dropped its sink
  /// without a call. The request is then answered with status 500.
  std::function<void(const std::string& cause)> on_failure;
};

/// HTTP/1.1 server based on RESTinio.
class Server {
 public:
  /// Starts to listen and to serve, on threads of its own. Fails with `kUnavailable` when the
  /// address cannot be used.
  static base::Result<std::unique_ptr<Server>> Start(const ServerOptions& options,
                                                     RequestHandler handler);

  /// Closes all connections and stops.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Closes the listening socket, so that new connections are refused. Requests on open connections
  /// are still served, without the time limits. Returns once the socket is closed.
  void StopAccepting();

 private:
  struct State;
  explicit Server(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace wagtailpick::http
