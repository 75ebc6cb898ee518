#pragma once

#include <restinio/asio_include.hpp>

namespace wagtailpick::http {

/// Socket of a server connection that sends an error answer to a rejected request before it closes.
/// RESTinio closes such a connection without an answer. Private to the server.
///
/// The server reads the next request only after the answer to the previous one is written (see
/// server.cpp), so the error answer cannot be mistaken for the answer to an earlier request.
class AnsweringSocket : public restinio::asio_ns::ip::tcp::socket {
 public:
  using Socket = restinio::asio_ns::ip::tcp::socket;
  using Socket::Socket;

  /// Called by RESTinio when it closes the connection.
  void shutdown(shutdown_type how, restinio::asio_ns::error_code& error);
};

}  // namespace wagtailpick::http
