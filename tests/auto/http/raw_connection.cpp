#include "raw_connection.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <utility>

namespace {

/// Prevents a test from hanging; no result depends on it.
constexpr int kReadTimeoutMillis = 5'000;

std::size_t ContentLength(const std::string& headers) {
  const std::string name = "Content-Length: ";
  const auto found = headers.find(name);
  if (found == std::string::npos) return 0;
  return std::strtoul(headers.c_str() + found + name.size(), nullptr, 10);
}

}  // namespace

RawConnection::RawConnection(int socket) : socket_(socket) {}

RawConnection::~RawConnection() {
  if (socket_ >= 0) close(socket_);
}

RawConnection::RawConnection(RawConnection&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)),
      buffer_(std::move(other.buffer_)),
      is_closed_(other.is_closed_) {}

RawConnection RawConnection::Connect(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int result = connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (result != 0) std::abort();
  return RawConnection(fd);
}

void RawConnection::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto count = send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return;
    sent += static_cast<std::size_t>(count);
  }
}

std::string RawConnection::ReadMessage() {
  std::size_t size = std::string::npos;
  while (true) {
    const auto end = buffer_.find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::size_t header_size = end + 4;
      size = header_size + ContentLength(buffer_.substr(0, header_size));
    }
    if (buffer_.size() >= size || !ReadMore()) break;
  }
  std::string message = buffer_.substr(0, size);
  buffer_.erase(0, message.size());
  return message;
}

std::string RawConnection::ReadHead() {
  while (buffer_.find("\r\n\r\n") == std::string::npos && ReadMore()) {
  }
  return buffer_.substr(0, buffer_.find("\r\n\r\n"));
}

void RawConnection::Reset() {
  const linger at_once{1, 0};
  setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close(std::exchange(socket_, -1));
}

std::string RawConnection::ReadToEnd() {
  while (ReadMore()) {
  }
  return std::exchange(buffer_, {});
}

bool RawConnection::ReadMore() {
  pollfd poll_entry{socket_, POLLIN, 0};
  if (poll(&poll_entry, 1, kReadTimeoutMillis) <= 0) return false;
  std::array<char, 4'096> bytes{};
  const auto count = recv(socket_, bytes.data(), bytes.size(), 0);
  is_closed_ = count <= 0;
  if (is_closed_) return false;
  buffer_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}
