#pragma once

#include <cstddef>
#include <restinio/asio_include.hpp>
#include <string_view>
#include <utility>

#include "http/framing.h"

namespace wagtailpick::http {

/// Socket of a server connection that hands only requests whose end is certain to RESTinio, and
/// that sends an error answer to a rejected request before it closes. RESTinio closes such a
/// connection without an answer. Private to the server.
///
/// The server reads the next request only after the answer to the previous one is written (see
/// server.cpp), so the error answer cannot be mistaken for the answer to an earlier request.
class AnsweringSocket : public restinio::asio_ns::ip::tcp::socket {
 public:
  using Socket = restinio::asio_ns::ip::tcp::socket;
  using Socket::Socket;

  /// Called by RESTinio to read. Fails with a framing error once all requests before the faulty one
  /// have been handed over.
  template <typename Buffer, typename Handler>
  void async_read_some(const Buffer& buffer, Handler&& handler) {
    const auto executor = restinio::asio_ns::get_associated_executor(handler, get_executor());
    if (framing_.error() != FramingError::kNone) {
      return restinio::asio_ns::post(executor,
                                     [this, handler = std::forward<Handler>(handler)]() mutable {
                                       handler(ToErrorCode(framing_.error()), 0);
                                     });
    }
    Socket::async_read_some(
        buffer, restinio::asio_ns::bind_executor(
                    executor, [this, buffer, handler = std::forward<Handler>(handler)](
                                  restinio::asio_ns::error_code error, std::size_t length) mutable {
                      const auto sound = CheckFraming({Data(buffer), length});
                      if (!error && sound < length && sound == 0) {
                        error = ToErrorCode(framing_.error());
                      }
                      handler(error, sound);
                    }));
  }

  /// Called by RESTinio when it closes the connection.
  void shutdown(shutdown_type how, restinio::asio_ns::error_code& error);

 private:
  template <typename Buffer>
  static const char* Data(const Buffer& buffer) {
    return static_cast<const char*>(restinio::asio_ns::buffer_sequence_begin(buffer)->data());
  }
  /// Returns the number of `bytes` that may be handed over: all, or those of the requests before a
  /// faulty one.
  std::size_t CheckFraming(std::string_view bytes);

  MessageFraming framing_{MessageFraming::Kind::kRequest};
};

}  // namespace wagtailpick::http
