#include "raw_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <utility>

namespace {

struct BoundSocket {
  int socket = -1;
  std::uint16_t port = 0;
};

BoundSocket BindFreePort() {
  BoundSocket bound;
  bound.socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (bind(bound.socket, reinterpret_cast<sockaddr*>(&address), size) != 0) std::abort();
  if (getsockname(bound.socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) std::abort();
  bound.port = ntohs(address.sin_port);
  return bound;
}

}  // namespace

RawServer::RawServer(Script script) : script_(std::move(script)) {
  const BoundSocket bound = BindFreePort();
  listener_ = bound.socket;
  port_ = bound.port;
  if (listen(listener_, 16) != 0) std::abort();
  thread_ = std::thread([this] { Run(); });
}

RawServer::~RawServer() {
  shutdown(listener_, SHUT_RDWR);
  thread_.join();
  close(listener_);
}

std::string RawServer::url() const { return "http://127.0.0.1:" + std::to_string(port_) + "/x"; }

std::string RawServer::ReadRequest(RawConnection& connection) {
  std::string request = connection.ReadMessage();
  if (request.empty()) return request;
  ++requests_;
  return request;
}

void RawServer::Run() {
  while (true) {
    const int fd = accept(listener_, nullptr, nullptr);
    if (fd < 0) return;
    ++connections_;
    RawConnection connection(fd);
    script_(*this, connection);
  }
}

std::uint16_t FreePort() {
  const BoundSocket bound = BindFreePort();
  close(bound.socket);
  return bound.port;
}
