#include "soak/http_call.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "base/endpoint.h"
#include "net/http_parser_state.h"
#include "net/http_text.h"

namespace wagtailpick::soak {
namespace {

using Clock = std::chrono::steady_clock;

/// A non-blocking IPv4 TCP socket; the destructor closes it.
class Socket {
 public:
  Socket() : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {}
  ~Socket() { ::close(descriptor_); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int descriptor() const { return descriptor_; }

  /// Waits until the socket is ready for `events` (as for poll); returns false once `end` has
  /// passed.
  bool Wait(short events, Clock::time_point end) const {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now());
    if (left.count() <= 0) return false;
    pollfd waiting{descriptor_, events, 0};
    return ::poll(&waiting, 1, static_cast<int>(left.count())) > 0;
  }

 private:
  int descriptor_;
};

bool Connect(const Socket& socket, const base::Endpoint& endpoint, Clock::time_point end) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (::connect(socket.descriptor(), generic, sizeof(address)) == 0) return true;
  if (errno != EINPROGRESS || !socket.Wait(POLLOUT, end)) return false;
  int error = 0;
  socklen_t size = sizeof(error);
  ::getsockopt(socket.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error == 0;
}

bool SendAll(const Socket& socket, const std::string& bytes, Clock::time_point end) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    if (!socket.Wait(POLLOUT, end)) return false;
    const auto length =
        ::send(socket.descriptor(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (length <= 0) return false;
    sent += static_cast<std::size_t>(length);
  }
  return true;
}

}  // namespace

std::optional<http::Response> Call(const std::string& address, const http::Request& request,
                                   base::Duration timeout) {
  const auto endpoint = base::ParseEndpoint(address);
  if (!endpoint) return std::nullopt;
  const auto end = Clock::now() + timeout;
  const Socket socket;
  if (!Connect(socket, endpoint.value(), end)) return std::nullopt;
  if (!SendAll(socket, net::RenderRequest(request), end)) return std::nullopt;
  net::HttpParserState parser(net::HttpParserState::Kind::kResponse, {});
  std::array<char, 4'096> buffer{};
  while (!parser.complete() && parser.error() == net::ParseError::kNone) {
    if (!socket.Wait(POLLIN, end)) return std::nullopt;
    const auto length = ::recv(socket.descriptor(), buffer.data(), buffer.size(), 0);
    if (length < 0) return std::nullopt;
    if (length == 0) {
      parser.FeedEof();
      break;
    }
    parser.Feed({buffer.data(), static_cast<std::size_t>(length)});
  }
  if (!parser.complete()) return std::nullopt;
  return std::move(parser.response());
}

}  // namespace wagtailpick::soak
