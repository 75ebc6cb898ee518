#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>

#include "record.h"

namespace wagtailpick::review {
namespace {

using Clock = std::chrono::steady_clock;

constexpr double kConnectTimeoutS = 1.0;
constexpr int kBacklog = 512;
constexpr std::size_t kReadBytes = 65'536;
constexpr int kSmallWindowBytes = 65'536;
constexpr std::size_t kSlowStepBytes = 16'384;
constexpr std::size_t kSendStepBytes = 262'144;

int MillisLeft(Clock::time_point end) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now());
  return left.count() < 0 ? 0 : static_cast<int>(left.count());
}

Clock::time_point After(double seconds) {
  return Clock::now() +
         std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}

bool Wait(int descriptor, short events, Clock::time_point end) {  // NOLINT(google-runtime-int)
  pollfd waiting{descriptor, events, 0};
  return ::poll(&waiting, 1, MillisLeft(end)) > 0;
}

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

void SetOptions(int descriptor) {
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

std::string Word(const std::string& line, int position) {
  std::size_t start = 0;
  for (int i = 0; i < position; ++i) {
    start = line.find(' ', start);
    if (start == std::string::npos) return {};
    ++start;
  }
  return line.substr(start, line.find(' ', start) - start);
}

Message ParseHead(const std::string& head) {
  Message message;
  std::size_t at = head.find("\r\n");
  message.start_line = head.substr(0, at);
  while (at != std::string::npos) {
    const std::size_t start = at + 2;
    at = head.find("\r\n", start);
    const std::string line = head.substr(start, at == std::string::npos ? at : at - start);
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    const auto value = line.find_first_not_of(' ', colon + 1);
    message.headers.emplace_back(line.substr(0, colon),
                                 value == std::string::npos ? "" : line.substr(value));
  }
  return message;
}

void AppendHeaders(const Headers& headers, std::string& text) {
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
}

}  // namespace

std::string Message::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (::strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return {};
}

int Message::Status() const { return std::atoi(Word(start_line, 1).c_str()); }
std::string Message::Method() const { return Word(start_line, 0); }
std::string Message::Target() const { return Word(start_line, 1); }

Connection::Connection(Connection&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)),
      ended_(other.ended_),
      buffer_(std::move(other.buffer_)) {
  if (descriptor_ >= 0) SetOptions(descriptor_);
}

std::optional<Connection> Connection::Open(const Address& to, double timeout_s) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (descriptor < 0) return std::nullopt;
  Connection connection(descriptor);
  SetOptions(descriptor);
  const auto address = ToSocketAddress(to);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (::connect(descriptor, generic, sizeof(address)) != 0) {
    if (errno != EINPROGRESS || !Wait(descriptor, POLLOUT, After(timeout_s))) return std::nullopt;
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return std::nullopt;
  }
  return connection;
}

bool Connection::Send(const std::string& bytes, double timeout_s, double bytes_per_s) {
  const auto start = Clock::now();
  const std::size_t step = bytes_per_s > 0 ? kSendStepBytes : bytes.size();
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    if (bytes_per_s > 0) {
      const double passed = std::chrono::duration<double>(Clock::now() - start).count();
      Sleep(std::max(static_cast<double>(sent) / bytes_per_s - passed, 0.0));
    }
    if (!Wait(descriptor_, POLLOUT, After(timeout_s))) return false;
    const auto length =
        ::send(descriptor_, bytes.data() + sent, std::min(step, bytes.size() - sent), MSG_NOSIGNAL);
    if (length < 0 && errno != EAGAIN) return false;
    if (length > 0) sent += static_cast<std::size_t>(length);
  }
  return true;
}

bool Connection::Fill(double timeout_s, std::size_t most) {
  if (!Wait(descriptor_, POLLIN, After(timeout_s))) return false;
  std::array<char, kReadBytes> bytes{};
  const auto length = ::recv(descriptor_, bytes.data(), std::min(most, bytes.size()), 0);
  if (length <= 0) {
    ended_ = length == 0 || errno != EAGAIN;
    return !ended_;
  }
  buffer_.append(bytes.data(), static_cast<std::size_t>(length));
  return true;
}

std::optional<Message> Connection::Read(double timeout_s) { return ReadMessage(timeout_s, 0); }

std::optional<Message> Connection::ReadSlowly(double timeout_s, double bytes_per_s) {
  return ReadMessage(timeout_s, bytes_per_s);
}

void Connection::SetSmallWindow() {
  const int bytes = kSmallWindowBytes;
  ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

std::optional<Message> Connection::ReadMessage(double timeout_s, double bytes_per_s) {
  const auto end = After(timeout_s);
  ended_ = false;
  const auto start = Clock::now();
  double taken = 0;
  const auto fill = [&] {
    if (bytes_per_s <= 0) return Fill(MillisLeft(end) / 1'000.0, kReadBytes);
    const double passed = std::chrono::duration<double>(Clock::now() - start).count();
    Sleep(std::max(taken / bytes_per_s - passed, 0.0));
    const std::size_t before = buffer_.size();
    const bool open = Fill(MillisLeft(end) / 1'000.0, kSlowStepBytes);
    taken += static_cast<double>(buffer_.size() - before);
    return open;
  };
  // Bytes stay in the buffer until the message is whole, so that a later call can go on with them.
  std::size_t head = std::string::npos;
  while ((head = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!fill()) return std::nullopt;
  }
  Message message = ParseHead(buffer_.substr(0, head));
  const std::size_t body = head + 4;
  const auto length = std::strtoull(message.Header("Content-Length").c_str(), nullptr, 10);
  while (buffer_.size() < body + length) {
    if (!fill()) return std::nullopt;
  }
  message.body = buffer_.substr(body, length);
  buffer_.erase(0, body + length);
  return message;
}

bool Connection::PeerClosed() const {
  char byte = 0;
  const auto length = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return length == 0 || (length < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::Close() {
  if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
}

int Listen(const Address& at) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto address = ToSocketAddress(at);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (::bind(listener, generic, sizeof(address)) == 0 && ::listen(listener, kBacklog) == 0) {
    return listener;
  }
  ::close(listener);
  return -1;
}

int Accept(int listener, double timeout_s) {
  if (!Wait(listener, POLLIN, After(timeout_s))) return -1;
  return ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
}

std::string RequestText(const std::string& method, const std::string& target,
                        const Headers& headers, const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  AppendHeaders(headers, text);
  if (!body.empty() || method == "POST") {
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  }
  return text.append("\r\n").append(body);
}

std::string AnswerText(int status, const Headers& headers, const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
  AppendHeaders(headers, text);
  text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return text.append(body);
}

CallResult Call(const Address& to, const std::string& method, const std::string& target,
                const Headers& headers, const std::string& body, double timeout_s) {
  CallResult result;
  auto connection = Connection::Open(to, std::min(timeout_s, kConnectTimeoutS));
  if (!connection) return result;
  result.connected = true;
  // A peer that answers early may close before it has read the whole body.
  connection->Send(RequestText(method, target, headers, body), timeout_s);
  auto answer = connection->Read(timeout_s);
  if (answer) {
    result.status = answer->Status();
    result.answer = std::move(*answer);
  } else {
    result.connection_ended = connection->ended();
  }
  return result;
}

}  // namespace wagtailpick::review
