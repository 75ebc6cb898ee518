#include "http_listener_fixture.h"

#include <array>
#include <asio/write.hpp>
#include <utility>

#include "testing/run_loop.h"

namespace wagtailpick::net {

using asio::ip::tcp;

HttpListenerFixture::HttpListenerFixture() {
  for (int attempt = 0; listener == nullptr && attempt < 20; ++attempt) {
    {
      const tcp::acceptor probe(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
      endpoint.port = probe.local_endpoint().port();
    }
    auto started = HttpListener::Start(
        loop, endpoint,
        [this](std::shared_ptr<InboundRequest> request) {
          if (handle) return handle(std::move(request));
          inbound.push_back(std::move(request));
        },
        [this] { return policy; });
    if (started) listener = std::move(started.value());
  }
}

tcp::socket HttpListenerFixture::Connect() {
  tcp::socket client(loop);
  client.connect({asio::ip::address_v4::loopback(), endpoint.port});
  return client;
}

void HttpListenerFixture::Run(std::chrono::milliseconds span) { testing::RunUntilIdle(loop, span); }

Received ReadArrived(tcp::socket& client) {
  Received received;
  client.non_blocking(true);
  std::array<char, 65'536> part{};
  asio::error_code error;
  while (!error) {
    const auto length = client.read_some(asio::buffer(part), error);
    received.bytes.append(part.data(), length);
  }
  client.non_blocking(false);
  received.ended = error != asio::error::would_block;
  received.reset = error == asio::error::connection_reset;
  return received;
}

void Send(tcp::socket& client, std::string_view bytes) { asio::write(client, asio::buffer(bytes)); }

http::Response Ok(std::string body) {
  http::Response response;
  response.status = 200;
  response.body = std::move(body);
  return response;
}

}  // namespace wagtailpick::net
