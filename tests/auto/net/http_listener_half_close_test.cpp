#include <criterion/criterion.h>

#include <asio/ip/tcp.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "http_listener_fixture.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using asio::ip::tcp;
using net::HttpListenerFixture;
using net::ReadArrived;
using net::Send;

constexpr std::string_view kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::size_t kLongAnswer = 8UL * 1024 * 1024;

/// Runs the listener until the client's stream has ended, and returns all that the client received.
net::Received ReadToEnd(HttpListenerFixture& fixture, tcp::socket& client) {
  net::Received all;
  for (int i = 0; i < 1'000 && !all.ended; ++i) {
    fixture.Run(std::chrono::milliseconds(5));
    auto part = ReadArrived(client);
    part.bytes.insert(0, all.bytes);
    all = std::move(part);
  }
  return all;
}

/// Makes a handler of `fixture` that lets requests go on after a half-close, and counts the clients
/// that left.
void ContinueAfterHalfClose(HttpListenerFixture& fixture, int& left) {
  fixture.handle = [&fixture, &left](std::shared_ptr<net::InboundRequest> request) {
    request->continues_after_half_close = [] { return true; };
    request->on_client_left = [&left] { ++left; };
    fixture.inbound.push_back(std::move(request));
  };
}

}  // namespace

// Guards against a client that ends its sending half after its request, waits and gets no answer,
// as the end of its stream is taken for a client that left.
Test(http_listener_half_close, answers_a_request_that_goes_on) {
  HttpListenerFixture fixture;
  int left = 0;
  ContinueAfterHalfClose(fixture, left);
  auto client = fixture.Connect();
  Send(client, kRequest);
  fixture.Run();
  client.shutdown(tcp::socket::shutdown_send);
  fixture.Run();
  cr_assert(fixture.inbound.size() == 1);
  cr_expect(fixture.listener->busy_count() == 1);
  fixture.inbound[0]->Answer(net::Ok("whole"));
  const auto received = ReadToEnd(fixture, client);
  cr_expect(left == 0);
  cr_expect(received.bytes.starts_with("HTTP/1.1 200 "));
  cr_expect(received.bytes.ends_with("\r\n\r\nwhole"));
  cr_expect(!received.reset);
  cr_expect(fixture.listener->connection_count() == 0);
}

// Guards against a second request that came together with the end of the stream and is dropped.
Test(http_listener_half_close, answers_pipelined_requests_that_go_on) {
  HttpListenerFixture fixture;
  int left = 0;
  ContinueAfterHalfClose(fixture, left);
  auto client = fixture.Connect();
  Send(client, std::string(kRequest).append(kRequest));
  client.shutdown(tcp::socket::shutdown_send);
  fixture.Run();
  cr_assert(fixture.inbound.size() == 1);
  fixture.inbound[0]->Answer(net::Ok("first"));
  fixture.Run();
  cr_assert(fixture.inbound.size() == 2);
  fixture.inbound[1]->Answer(net::Ok("second"));
  const auto received = ReadToEnd(fixture, client);
  cr_expect(left == 0);
  cr_expect(received.bytes.find("\r\n\r\nfirst") != std::string::npos);
  cr_expect(received.bytes.ends_with("\r\n\r\nsecond"));
}

// Guards against an answer that is cut in its middle, as its client ends its sending half while it
// reads.
Test(http_listener_half_close, finishes_an_answer_that_is_being_written) {
  HttpListenerFixture fixture;
  auto client = fixture.Connect();
  Send(client, kRequest);
  fixture.Run();
  cr_assert(fixture.inbound.size() == 1);
  fixture.inbound[0]->Answer(net::Ok(std::string(kLongAnswer, 'x')));
  fixture.Run();
  client.shutdown(tcp::socket::shutdown_send);
  fixture.Run();
  const auto received = ReadToEnd(fixture, client);
  cr_expect(received.bytes.size() > kLongAnswer);
  cr_expect(fixture.listener->connection_count() == 0);
}

// Guards against a request that runs on for a client that has reset its connection.
Test(http_listener_half_close, notices_a_reset_after_a_half_close) {
  HttpListenerFixture fixture;
  int left = 0;
  ContinueAfterHalfClose(fixture, left);
  auto client = fixture.Connect();
  Send(client, kRequest);
  fixture.Run();
  client.shutdown(tcp::socket::shutdown_send);
  fixture.Run();
  cr_expect(left == 0);
  client.set_option(asio::socket_base::linger(true, 0));
  client.close();
  fixture.Run();
  cr_expect(left == 1);
  cr_expect(fixture.listener->connection_count() == 0);
}

// Guards against requests that run on for clients that left: without a decision of its handler, a
// request ends with its client's stream.
Test(http_listener_half_close, ends_a_request_whose_handler_decides_nothing) {
  HttpListenerFixture fixture;
  int left = 0;
  auto client = fixture.Connect();
  Send(client, kRequest);
  fixture.Run();
  cr_assert(fixture.inbound.size() == 1);
  fixture.inbound[0]->on_client_left = [&left] { ++left; };
  client.shutdown(tcp::socket::shutdown_send);
  fixture.Run();
  cr_expect(left == 1);
  cr_expect(fixture.listener->connection_count() == 0);
}
