#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_listener.h"

namespace wagtailpick::net {

/// A listener on the loopback interface whose requests the test answers. The listener and the
/// clients share the test's thread: the listener does nothing until `Run` is called.
class HttpListenerFixture {
 public:
  HttpListenerFixture();

  /// Returns a client socket that is connected to the listener.
  asio::ip::tcp::socket Connect();
  /// Runs the listener until nothing has been ready for `span`.
  void Run(std::chrono::milliseconds span = std::chrono::milliseconds(30));

  ServerPolicy policy;
  /// Called for each request that is handed over; appends to `inbound` if unset.
  InboundHandler handle;
  asio::io_context loop;
  base::Endpoint endpoint{"127.0.0.1", 0};
  /// The requests that were handed over and are not answered yet.
  std::vector<std::shared_ptr<InboundRequest>> inbound;
  std::unique_ptr<HttpListener> listener;
};

/// What a client has received.
struct Received {
  std::string bytes;
  /// Whether the stream has ended, and whether by a reset.
  bool ended = false;
  bool reset = false;
};

/// Returns all that has arrived at `client`, without waiting.
Received ReadArrived(asio::ip::tcp::socket& client);

/// Sends `bytes` without running the listener.
void Send(asio::ip::tcp::socket& client, std::string_view bytes);

/// Returns an answer of status 200 with `body`.
http::Response Ok(std::string body = "ok");

}  // namespace wagtailpick::net
