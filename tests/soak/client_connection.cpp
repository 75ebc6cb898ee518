#include "soak/client_connection.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <thread>
#include <utility>

#include "base/endpoint.h"
#include "net/http_text.h"

namespace wagtailpick::soak {
namespace {

/// Body bytes in each chunk; small, so that each body has several.
constexpr std::size_t kChunkBytes = 7;

std::string RenderChunked(const http::Request& request) {
  auto head = net::RenderRequestHead(request, 0);
  // The empty line that ends the head comes after the added field.
  head.resize(head.size() - 2);
  std::ostringstream out;
  out << head << "Transfer-Encoding: chunked\r\n\r\n" << std::hex;
  for (std::size_t i = 0; i < request.body.size(); i += kChunkBytes) {
    const auto chunk = request.body.substr(i, kChunkBytes);
    out << chunk.size() << "\r\n" << chunk << "\r\n";
  }
  out << "0\r\n\r\n";
  return out.str();
}

}  // namespace

std::unique_ptr<ClientConnection> ClientConnection::Connect(const std::string& address,
                                                            base::Duration timeout) {
  const auto endpoint = base::ParseEndpoint(address);
  if (!endpoint) return nullptr;
  const auto end = Clock::now() + timeout;
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (descriptor < 0) return nullptr;
  std::unique_ptr<ClientConnection> connection(new ClientConnection(descriptor));
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(endpoint.value().port);
  inet_pton(AF_INET, endpoint.value().address.c_str(), &target.sin_addr);
  const auto* generic = reinterpret_cast<const sockaddr*>(&target);
  if (::connect(descriptor, generic, sizeof(target)) == 0) return connection;
  if (errno != EINPROGRESS || !connection->FinishConnect(end)) return nullptr;
  return connection;
}

ClientConnection::~ClientConnection() { ::close(descriptor_); }

bool ClientConnection::Wait(short events, Clock::time_point end) const {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now());
  if (left.count() <= 0) return false;
  pollfd waiting{descriptor_, events, 0};
  return ::poll(&waiting, 1, static_cast<int>(left.count())) > 0;
}

bool ClientConnection::FinishConnect(Clock::time_point end) const {
  if (!Wait(POLLOUT, end)) return false;
  int error = 0;
  socklen_t size = sizeof(error);
  ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
  return error == 0;
}

bool ClientConnection::SendPart(std::string_view bytes, Clock::time_point end) const {
  while (!bytes.empty()) {
    if (!Wait(POLLOUT, end)) return false;
    const auto length = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (length <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(length));
  }
  return true;
}

bool ClientConnection::Send(const std::string& bytes, const SendStyle& style,
                            Clock::time_point end) const {
  const std::string_view all = bytes;
  const std::size_t part_bytes = bytes.size() / style.parts + 1;
  for (std::size_t i = 0; i < bytes.size(); i += part_bytes) {
    if (i != 0) std::this_thread::sleep_for(style.pause);
    if (!SendPart(all.substr(i, part_bytes), end)) return false;
  }
  if (style.half_close) ::shutdown(descriptor_, SHUT_WR);
  return true;
}

CallEnd ClientConnection::Receive(http::Response& response, Clock::time_point end) {
  net::HttpParserState parser(net::HttpParserState::Kind::kResponse, {});
  std::array<char, 4'096> buffer{};
  while (!parser.complete() && parser.error() == net::ParseError::kNone) {
    if (!Wait(POLLIN, end)) return CallEnd::kTimeout;
    const auto length = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (length < 0) return CallEnd::kClosed;
    if (length == 0) {
      parser.FeedEof();
      break;
    }
    parser.Feed({buffer.data(), static_cast<std::size_t>(length)});
  }
  if (!parser.complete()) return CallEnd::kClosed;
  usable_ = parser.keep_alive() && !parser.ends_with_stream();
  response = std::move(parser.response());
  return CallEnd::kAnswered;
}

CallResult ClientConnection::Call(const http::Request& request, const SendStyle& style,
                                  base::Duration timeout) {
  const auto end = Clock::now() + timeout;
  usable_ = false;
  ++requests_;
  CallResult result;
  result.sent_at = base::MonotonicNow();
  // An answer may arrive before the whole request is sent, so a failed send doesn't end the call.
  Send(style.chunked ? RenderChunked(request) : net::RenderRequest(request), style, end);
  result.sent_whole_at = base::MonotonicNow();
  result.end = Receive(result.response, end);
  result.ended_at = base::MonotonicNow();
  if (style.half_close) usable_ = false;
  return result;
}

}  // namespace wagtailpick::soak
