#include "net/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>

namespace wagtailpick::net {
namespace {

constexpr int kBacklog = 1'024;
constexpr int kKeepAliveProbes = 3;

}  // namespace

void DetectDeadPeer(asio::ip::tcp::socket& socket, base::Duration timeout) {
  using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  const auto millis =
      static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
  const int interval_s = std::max(1, millis / 1'000 / kKeepAliveProbes);
  // Errors are ignored, as the connection works without these options.
  asio::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(KeepIdle(interval_s), ignored);
  socket.set_option(KeepInterval(interval_s), ignored);
  socket.set_option(KeepCount(kKeepAliveProbes), ignored);
  socket.set_option(UserTimeout(millis), ignored);
}

asio::ip::tcp::endpoint ToAsio(const base::Endpoint& endpoint) {
  asio::error_code ignored;
  return {asio::ip::make_address(endpoint.address, ignored), endpoint.port};
}

base::Result<asio::ip::tcp::acceptor> Listen(asio::io_context& loop,
                                             const base::Endpoint& endpoint) {
  asio::ip::tcp::acceptor acceptor(loop);
  const auto address = ToAsio(endpoint);
  asio::error_code error;
  acceptor.open(address.protocol(), error);
  if (!error) acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind(address, error);
  if (!error) acceptor.listen(kBacklog, error);
  if (error) {
    return base::Fail(base::ErrorCode::kUnavailable,
                      "can't listen on " + base::ToString(endpoint) + ": " + error.message());
  }
  return acceptor;
}

}  // namespace wagtailpick::net
