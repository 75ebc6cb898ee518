#include "net/http_listener.h"

#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

#include "testing/run_loop.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::size_t kMemoryBudget = 2'000'000;
constexpr std::size_t kLongAnswer = 8UL * 1024 * 1024;
/// A listener that has sent nothing by then will not.
constexpr std::chrono::seconds kMaxReadWait{10};

/// A listener whose requests the test answers, and a client socket.
struct Fixture {
  Fixture() : client(loop) {
    base::Endpoint endpoint{"127.0.0.1", 0};
    for (int attempt = 0; listener == nullptr && attempt < 20; ++attempt) {
      {
        const tcp::acceptor probe(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        endpoint.port = probe.local_endpoint().port();
      }
      auto started = net::HttpListener::Start(
          loop, endpoint,
          [this](std::shared_ptr<net::InboundRequest> request) {
            if (throws) throw std::runtime_error("cannot handle this");
            inbound = std::move(request);
          },
          [this] {
            net::ServerPolicy policy;
            policy.memory = memory;
            policy.header_timeout = header_timeout;
            policy.idle_timeout = idle_timeout;
            return policy;
          });
      if (started) listener = std::move(started.value());
    }
    client.connect({asio::ip::address_v4::loopback(), endpoint.port});
  }

  void Send(const std::string& bytes) {
    asio::write(client, asio::buffer(bytes));
    Run();
  }

  void Run() { testing::RunFor(loop, milliseconds(50)); }

  /// Reads until the client has received at least `kLongAnswer` bytes.
  void ReadLongAnswer() {
    std::size_t length = 0;
    while (length < kLongAnswer) {
      Run();
      length += ReadSome(kLongAnswer).size();
    }
    Run();
  }

  /// Returns up to `max_bytes` that have arrived; fails the test if nothing arrives in time.
  std::string ReadSome(std::size_t max_bytes) {
    const auto end = base::MonotonicNow() + kMaxReadWait;
    while (client.available() == 0 && base::MonotonicNow() < end) Run();
    cr_assert(client.available() > 0, "nothing arrives");
    std::string received(max_bytes, '\0');
    received.resize(client.read_some(asio::buffer(received)));
    return received;
  }

  /// Returns the status of the answer that has arrived.
  int ReadStatus() {
    const auto received = ReadSome(1'024);
    return std::stoi(received.substr(received.find(' ')));
  }

  base::Duration header_timeout = std::chrono::seconds(3);
  base::Duration idle_timeout = std::chrono::seconds(15);
  std::shared_ptr<base::MemoryBudget> memory = std::make_shared<base::MemoryBudget>(kMemoryBudget);
  asio::io_context loop;
  std::shared_ptr<net::InboundRequest> inbound;
  /// Makes the handler of requests fail.
  bool throws = false;
  std::unique_ptr<net::HttpListener> listener;
  tcp::socket client;
};

}  // namespace

// A planned stop waits until no connection is busy. A request must count as busy while it is being
// received, while it runs and while its answer is being sent; otherwise the process would exit and
// the client would get no answer.
Test(http_listener, is_busy_from_first_request_byte_until_answer_is_sent) {
  Fixture fixture;
  fixture.Run();
  cr_expect(fixture.listener->busy_count() == 0);
  cr_expect(fixture.listener->last_accepted() > base::MonotonicTime());
  fixture.Send("GET /x HTTP/1.1\r\nHo");
  cr_expect(fixture.listener->busy_count() == 1);
  fixture.Send("st: h\r\n\r\n");
  cr_assert(fixture.inbound != nullptr);
  cr_expect(fixture.listener->busy_count() == 1);
  http::Response response;
  response.status = 200;
  response.body = std::string(kLongAnswer, 'x');
  fixture.inbound->Answer(std::move(response));
  fixture.Run();
  cr_expect(fixture.listener->busy_count() == 1);
  fixture.ReadLongAnswer();
  cr_expect(fixture.listener->busy_count() == 0);
}

// Guards against an exception of one request's handler that ends the process and with it all other
// requests, and against a request that is dropped and never answered.
Test(http_listener, a_failed_handler_costs_its_request_only) {
  Fixture fixture;
  fixture.throws = true;
  fixture.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_expect(fixture.ReadStatus() == 500);
  cr_expect(fixture.listener->handler_failures() == 1);
  fixture.throws = false;
  fixture.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert(fixture.inbound != nullptr);
  fixture.inbound.reset();
  fixture.Run();
  cr_expect(fixture.ReadStatus() == 500);
  cr_expect(fixture.listener->handler_failures() == 2);
  fixture.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert(fixture.inbound != nullptr);
  fixture.inbound->Answer({});
  fixture.Run();
  cr_expect(fixture.ReadStatus() == 200);
}

// Guards against a request that is read although the process has no memory for its body, and
// against a refusal without a time to return.
Test(http_listener, refuses_a_request_without_memory_before_its_body) {
  Fixture fixture;
  std::string refused_target;
  fixture.listener->set_on_refused_for_memory(
      [&](const http::Request& head) { refused_target = head.target; });
  fixture.Send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1700000\r\n\r\nfirst bytes");
  const auto received = fixture.ReadSome(1'024);
  cr_expect(received.starts_with("HTTP/1.1 503 "));
  cr_expect(received.find("\r\nRetry-After: ") != std::string::npos);
  cr_expect(received.find("\r\nConnection: close\r\n") != std::string::npos);
  cr_expect(fixture.inbound == nullptr);
  cr_expect(refused_target == "/x");
}

// Guards against memory that stays counted after its request or answer is gone, and against an
// answer that is not counted while a slow client has not taken it.
Test(http_listener, counts_bodies_until_they_are_sent) {
  Fixture fixture;
  const std::string body(100'000, 'x');
  fixture.Send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + body);
  cr_assert(fixture.inbound != nullptr);
  cr_expect(fixture.memory->held(base::MemoryUse::kRequest) == body.size());
  http::Response response;
  response.memory =
      std::make_shared<base::MemoryReservation>(fixture.memory, base::MemoryUse::kAnswer);
  cr_expect(response.memory->GrowTo(900'000));
  response.body = std::string(kLongAnswer, 'x');
  fixture.inbound->Answer(std::move(response));
  fixture.inbound.reset();
  fixture.Run();
  cr_expect(fixture.memory->held(base::MemoryUse::kRequest) == 0);
  cr_expect(fixture.memory->held(base::MemoryUse::kAnswer) == 900'000);
  fixture.ReadLongAnswer();
  cr_expect(fixture.memory->held(base::MemoryUse::kAnswer) == 0);
}

// Guards against an answer that is cut because its client reads it for longer than the idle
// timeout, and against a client that stops reading and keeps its connection.
Test(http_listener, cuts_an_answer_only_if_its_client_stops_reading) {
  Fixture fixture;
  fixture.idle_timeout = milliseconds(600);
  fixture.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  cr_assert(fixture.inbound != nullptr);
  http::Response response;
  response.body = std::string(2 * kLongAnswer, 'x');
  const std::size_t expected = response.body.size();
  fixture.inbound->Answer(std::move(response));
  std::size_t length = 0;
  while (length < expected) {
    fixture.Run();
    length += fixture.ReadSome(400'000).size();
  }
  fixture.Run();
  fixture.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  http::Response unread;
  unread.body = std::string(8 * kLongAnswer, 'x');
  fixture.inbound->Answer(std::move(unread));
  for (int i = 0; i < 40; ++i) fixture.Run();
  cr_expect(fixture.listener->busy_count() == 0);
}

// Guards against a line end that a client sends after a body, and that is answered with status 408
// as a request without an end.
Test(http_listener, ignores_line_ends_between_requests) {
  Fixture fixture;
  fixture.header_timeout = milliseconds(10);
  const std::string chunked =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  for (int round = 0; round < 2; ++round) {
    fixture.Send(chunked + "\r\n");
    cr_assert(fixture.inbound != nullptr);
    std::exchange(fixture.inbound, nullptr)->Answer({});
    fixture.Run();
    cr_expect(fixture.ReadStatus() == 200);
    fixture.Send("\r");
    fixture.Send("\n");
    cr_expect(fixture.listener->busy_count() == 0);
    // Longer than the interval between two timeout checks.
    for (int i = 0; i < 12; ++i) fixture.Run();
    cr_expect(fixture.client.available() == 0);
    cr_expect(fixture.listener->connection_count() == 1);
  }
}

// Guards against a client that keeps an idle connection open with nothing but line ends.
Test(http_listener, closes_an_idle_connection_that_gets_line_ends_only) {
  Fixture fixture;
  fixture.idle_timeout = milliseconds(300);
  asio::error_code ignored;
  for (int i = 0; i < 24; ++i) {
    asio::write(fixture.client, asio::buffer("\r\n", 2), ignored);
    fixture.Run();
  }
  cr_expect(fixture.listener->connection_count() == 0);
}
