#include "net/upstream_connection.h"

#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <optional>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)

constexpr const char* kLoopback = "127.0.0.1";
constexpr std::chrono::seconds kMaxTime{3};

/// Runs one exchange on a new connection to `port` and returns its result.
std::optional<net::ExchangeResult> ExchangeOnce(asio::io_context& loop, std::uint16_t port,
                                                std::function<bool()> may_send) {
  const auto connection = std::make_shared<net::UpstreamConnection>(
      loop, base::Endpoint{kLoopback, port}, net::MessageLimits{1'024, 1'024});
  connection->may_send = std::move(may_send);
  std::optional<net::ExchangeResult> result;
  connection->Exchange({"GET / HTTP/1.1\r\n\r\n", nullptr, false}, [&](net::ExchangeResult done) {
    result = std::move(done);
    loop.stop();
  });
  loop.run_for(kMaxTime);
  return result;
}

}  // namespace

// Guards against an upstream that is taken for unreachable because a request for it was withdrawn
// while its connection was being opened.
Test(upstream_connection, tells_a_withdrawn_request_from_a_failed_connect) {
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::make_address(kLoopback), 0});
  const auto port = acceptor.local_endpoint().port();
  const auto withdrawn = ExchangeOnce(loop, port, [] { return false; });
  cr_assert(withdrawn);
  cr_expect(net::ToString(withdrawn->outcome) == "not_sent");
  acceptor.close();
  loop.restart();
  const auto refused = ExchangeOnce(loop, port, [] { return true; });
  cr_assert(refused);
  cr_expect(net::ToString(refused->outcome) == "not_connected");
}
