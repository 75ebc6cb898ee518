#pragma once

#include <restinio/asio_include.hpp>

namespace wagtailpick::http {

/// Socket of a server connection that answers a refused request before it is closed. The server
/// library by itself closes such a connection without an answer. Private to the server.
///
/// The server reads no further request before the answer to one is written (see server.cpp), so the
/// answer can't be taken for that of an earlier request.
class AnsweringSocket : public restinio::asio_ns::ip::tcp::socket {
 public:
  using Socket = restinio::asio_ns::ip::tcp::socket;
  using Socket::Socket;

  /// Called by the library when it closes the connection.
  void shutdown(shutdown_type how, restinio::asio_ns::error_code& error);
};

}  // namespace wagtailpick::http
