#include "http/answering_socket.h"

#include <sys/socket.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "http/parse_error_answer.h"
#include "http/parse_error_logger.h"

namespace wagtailpick::http {
namespace {

namespace asio = restinio::asio_ns;

/// Time for the client to read the answer and close the connection.
constexpr auto kLinger = std::chrono::seconds(1);
constexpr std::size_t kDiscardBytes = 16UL * 1024;

/// Reads and discards what the client still sends, for up to `kLinger`, then closes the socket.
/// Closing a socket with unread bytes would reset the connection, and the client could lose the
/// answer.
class LingeringClose : public std::enable_shared_from_this<LingeringClose> {
 public:
  explicit LingeringClose(asio::ip::tcp::socket socket)
      : socket_(std::move(socket)), timer_(socket_.get_executor()) {}

  void Start() {
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    timer_.expires_after(kLinger);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
      asio::error_code ignored_error;
      if (!error) self->socket_.cancel(ignored_error);
    });
    Discard();
  }

 private:
  void Discard() {
    socket_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](
                                                       const asio::error_code& error, std::size_t) {
      const bool is_finished = error || std::chrono::steady_clock::now() >= self->timer_.expiry();
      if (!is_finished) return self->Discard();
      self->timer_.cancel();
    });
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, kDiscardBytes> buffer_{};
};

}  // namespace

std::size_t AnsweringSocket::CheckFraming(std::string_view bytes) {
  std::size_t at = 0;
  std::size_t whole_requests = 0;
  while (at < bytes.size()) {
    at += framing_.Read(bytes.substr(at));
    if (framing_.error() != FramingError::kNone) return whole_requests;
    if (!framing_.complete()) continue;
    framing_.Reset();
    whole_requests = at;
  }
  return bytes.size();
}

void AnsweringSocket::shutdown(shutdown_type how, asio::error_code& error) {
  const auto answer = ParseErrorAnswer(ParseErrorLogger::ConsumeError());
  if (!answer) {
    Socket::shutdown(how, error);
    return;
  }
  // A non-blocking send, as a client that does not read must not block the server's thread. The
  // answer fits into the send buffer, which is empty when no request is running on the connection.
  const auto sent =
      ::send(native_handle(), answer->data(), answer->size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent != static_cast<ssize_t>(answer->size())) {
    Socket::shutdown(how, error);
    return;
  }
  std::make_shared<LingeringClose>(std::move(static_cast<Socket&>(*this)))->Start();
}

}  // namespace wagtailpick::http
