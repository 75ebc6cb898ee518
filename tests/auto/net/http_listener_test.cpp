#include "net/http_listener.h"

#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <memory>
#include <string>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::size_t kLongAnswer = 8UL * 1024 * 1024;

/// A listener that answers when the test says so, and a client.
struct World {
  World() : client(loop) {
    base::Endpoint endpoint{"127.0.0.1", 0};
    for (int attempt = 0; listener == nullptr && attempt < 20; ++attempt) {
      {
        const tcp::acceptor probe(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        endpoint.port = probe.local_endpoint().port();
      }
      auto started = net::HttpListener::Start(
          loop, endpoint,
          [this](std::shared_ptr<net::InboundRequest> one) { inbound = std::move(one); },
          [] { return net::ServerPolicy(); });
      if (started) listener = std::move(started.value());
    }
    client.connect({asio::ip::address_v4::loopback(), endpoint.port});
  }

  void Send(const std::string& bytes) {
    asio::write(client, asio::buffer(bytes));
    Run();
  }

  void Run() {
    loop.restart();
    loop.run_for(milliseconds(50));
  }

  asio::io_context loop;
  std::shared_ptr<net::InboundRequest> inbound;
  std::unique_ptr<net::HttpListener> listener;
  tcp::socket client;
};

}  // namespace

// Guards against a process that ends while a request is still coming in, runs, or has an answer
// that its client hasn't taken: each was cut off without an answer at a planned stop.
Test(http_listener, counts_a_request_from_its_first_byte_until_its_answer_has_left) {
  World world;
  world.Run();
  cr_expect(world.listener->busy_count() == 0);
  cr_expect(world.listener->last_accepted() > base::MonotonicTime());
  world.Send("GET /x HTTP/1.1\r\nHo");
  cr_expect(world.listener->busy_count() == 1);
  world.Send("st: h\r\n\r\n");
  cr_assert(world.inbound != nullptr);
  cr_expect(world.listener->busy_count() == 1);
  http::Response response;
  response.status = 200;
  response.body = std::string(kLongAnswer, 'x');
  world.inbound->Answer(std::move(response));
  world.Run();
  cr_expect(world.listener->busy_count() == 1);
  std::string taken(kLongAnswer, '\0');
  std::size_t length = 0;
  while (length < kLongAnswer) {
    world.Run();
    length += world.client.read_some(asio::buffer(taken));
  }
  world.Run();
  cr_expect(world.listener->busy_count() == 0);
}
