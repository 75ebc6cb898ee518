#include "wire.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <sstream>
#include <utility>

namespace review {
namespace {

constexpr int kConnectTimeoutMs = 1'000;
constexpr int kBacklog = 256;
constexpr std::size_t kBufferBytes = 65'536;

sockaddr_in AddressOf(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 'a' - 'A')
                                          : static_cast<char>(letter);
  });
  return text;
}

bool WaitFor(int socket, short events, int timeout_ms) {
  pollfd poll_fd{socket, events, 0};
  return poll(&poll_fd, 1, timeout_ms) > 0;
}

std::string WordOf(const std::string& line, int index) {
  std::istringstream words(line);
  std::string word;
  for (int i = 0; i <= index; ++i) words >> word;
  return word;
}

}  // namespace

std::string Message::Header(const std::string& name) const {
  for (const auto& [field, value] : headers) {
    if (Lower(field) == name) return value;
  }
  return {};
}

int Message::status() const { return std::atoi(WordOf(first_line, 1).c_str()); }
std::string Message::method() const { return WordOf(first_line, 0); }
std::string Message::target() const { return WordOf(first_line, 1); }

Connection::~Connection() {
  if (socket_ >= 0) close(socket_);
}

Connection::Connection(Connection&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)),
      buffer_(std::move(other.buffer_)),
      failure_(std::move(other.failure_)) {}

std::optional<Connection> Connection::Open(const std::string& ip, std::uint16_t port,
                                           int receive_bytes) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (handle < 0) return std::nullopt;
  Connection connection(handle);
  if (receive_bytes > 0) {
    setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  }
  const int on = 1;
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const auto address = AddressOf(ip, port);
  const int result = connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (result != 0 && errno != EINPROGRESS) return std::nullopt;
  if (result != 0 && !WaitFor(handle, POLLOUT, kConnectTimeoutMs)) return std::nullopt;
  int error = 0;
  socklen_t length = sizeof error;
  getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) return std::nullopt;
  return connection;
}

bool Connection::Send(const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto sent = send(socket_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
      if (!WaitFor(socket_, POLLOUT, 30'000)) return false;
      continue;
    }
    if (sent < 0) return false;
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

bool Connection::Fill(int timeout_ms) {
  if (!WaitFor(socket_, POLLIN, timeout_ms)) {
    failure_ = "no bytes within " + std::to_string(timeout_ms) + " ms";
    return false;
  }
  std::array<char, kBufferBytes> bytes{};
  const auto count = recv(socket_, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    failure_ = count == 0 ? "the connection was closed" : std::strerror(errno);
    return false;
  }
  buffer_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<Message> Connection::Parse() {
  const auto end = buffer_.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  Message message;
  std::istringstream head(buffer_.substr(0, end));
  std::getline(head, message.first_line);
  std::string line;
  while (std::getline(head, line)) {
    const auto colon = line.find(':');
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (colon == std::string::npos) continue;
    const auto value = line.find_first_not_of(' ', colon + 1);
    message.headers.emplace_back(line.substr(0, colon),
                                 value == std::string::npos ? "" : line.substr(value));
  }
  if (!message.first_line.empty() && message.first_line.back() == '\r') {
    message.first_line.pop_back();
  }
  const std::size_t length = std::strtoull(message.Header("content-length").c_str(), nullptr, 10);
  if (buffer_.size() < end + 4 + length) return std::nullopt;
  message.body = buffer_.substr(end + 4, length);
  buffer_.erase(0, end + 4 + length);
  return message;
}

std::optional<Message> Connection::Read(int timeout_ms) {
  while (true) {
    if (auto message = Parse()) return message;
    if (!Fill(timeout_ms)) return std::nullopt;
  }
}

int ListenOn(const std::string& ip, std::uint16_t port) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (handle < 0) return -1;
  const int on = 1;
  setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = AddressOf(ip, port);
  if (bind(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      listen(handle, kBacklog) == 0) {
    return handle;
  }
  close(handle);
  return -1;
}

bool PortsAreFree(const std::string& ip, std::uint16_t first, int count) {
  for (int i = 0; i < count; ++i) {
    const int handle = ListenOn(ip, static_cast<std::uint16_t>(first + i));
    if (handle < 0) return false;
    close(handle);
  }
  return true;
}

}  // namespace review
