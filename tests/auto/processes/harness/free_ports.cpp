#include "harness/free_ports.h"

#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>

#include "harness/expect.h"

namespace wagtailpick::processes {
namespace {

constexpr std::uint32_t kFirstPort = 18'000;
constexpr std::uint32_t kPorts = 14'000;
/// Gives tests with consecutive process ids different first ports.
constexpr std::uint32_t kStride = 97;

bool IsFree(std::uint16_t port) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io);
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
  asio::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.bind(endpoint, error);
  return !error;
}

}  // namespace

std::string FreeAddress() {
  static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * kStride;
  for (std::uint32_t tries = 0; tries < kPorts; ++tries) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    if (IsFree(port)) return "127.0.0.1:" + std::to_string(port);
  }
  Expect(false, "no free port");
  return {};
}

}  // namespace wagtailpick::processes
