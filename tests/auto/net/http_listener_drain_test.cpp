#include <criterion/criterion.h>

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "http_listener_fixture.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using net::HttpListenerFixture;
using net::ReadArrived;
using net::Send;

constexpr std::string_view kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view kChunked =
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
constexpr std::string_view kEmptyLine = "\r\n";

/// Returns a client whose first request was answered and whose connection is kept.
asio::ip::tcp::socket ConnectKept(HttpListenerFixture& fixture) {
  auto client = fixture.Connect();
  Send(client, kRequest);
  fixture.Run();
  cr_assert(fixture.inbound.size() == 1);
  fixture.inbound[0]->Answer(net::Ok());
  fixture.inbound.clear();
  fixture.Run();
  cr_assert(ReadArrived(client).bytes.starts_with("HTTP/1.1 200 "));
  return client;
}

}  // namespace

// Guards against callers that connect to a process that is about to end: the kernel would go on
// accepting for them, and their connections would be closed without an answer.
Test(http_listener_drain, refuses_connections_once_accepting_has_stopped) {
  HttpListenerFixture fixture;
  auto open = fixture.Connect();
  fixture.Run();
  fixture.listener->StopAccepting();
  fixture.listener->StopAccepting();
  asio::ip::tcp::socket late(fixture.loop);
  asio::error_code error;
  late.connect({asio::ip::address_v4::loopback(), fixture.endpoint.port}, error);
  cr_expect(error == asio::error::connection_refused);
  fixture.Run();
  Send(open, kRequest);
  fixture.Run();
  cr_assert(fixture.inbound.size() == 1);
  fixture.inbound[0]->Answer(net::Ok());
  fixture.Run();
  cr_expect(ReadArrived(open).bytes.starts_with("HTTP/1.1 200 "));
}

// Guards against connections that the kernel has completed and then resets, as the listening socket
// is closed before they are accepted.
Test(http_listener_drain, accepts_what_the_kernel_holds_before_it_stops) {
  HttpListenerFixture fixture;
  auto first = fixture.Connect();
  auto second = fixture.Connect();
  Send(first, kRequest);
  Send(second, kRequest);
  fixture.listener->StopAccepting();
  cr_expect(fixture.listener->connection_count() == 2);
  fixture.Run();
  cr_expect(fixture.inbound.size() == 2);
}

// Guards against a process that ends in the middle of a row of requests on a kept connection: the
// time of the last accepted connection alone says nothing about them.
Test(http_listener_drain, records_when_a_request_began_to_arrive) {
  HttpListenerFixture fixture;
  auto client = fixture.Connect();
  fixture.Run();
  cr_expect(fixture.listener->last_request_at() == base::MonotonicTime());
  const auto before_first = base::MonotonicNow();
  Send(client, "GET /x HTTP/1.1\r\nHo");
  fixture.Run();
  const auto first = fixture.listener->last_request_at();
  cr_expect(first >= before_first);
  Send(client, "st: h\r\n\r\n");
  fixture.Run();
  cr_expect(fixture.listener->last_request_at() == first);
  cr_assert(fixture.inbound.size() == 1);
  fixture.inbound[0]->Answer(net::Ok());
  const auto before_second = base::MonotonicNow();
  Send(client, kRequest);
  fixture.Run();
  cr_expect(fixture.listener->last_request_at() >= before_second);
}

// Guards against a caller that has just connected and finds its connection closed before its first
// request has arrived.
Test(http_listener_drain, keeps_a_new_connection_for_its_first_request) {
  HttpListenerFixture fixture;
  auto client = fixture.Connect();
  fixture.Run();
  fixture.listener->CloseIdle();
  fixture.Run();
  Send(client, kRequest);
  fixture.Run();
  cr_assert(fixture.inbound.size() == 1);
  fixture.inbound[0]->Answer(net::Ok());
  fixture.Run();
  cr_expect(ReadArrived(client).bytes.starts_with("HTTP/1.1 200 "));
}

// Guards against a drain that never ends, as a client connects and sends nothing.
Test(http_listener_drain, closes_a_new_connection_that_sends_nothing) {
  HttpListenerFixture fixture;
  auto client = fixture.Connect();
  fixture.Run();
  std::this_thread::sleep_for(std::chrono::milliseconds(1'100));
  fixture.listener->CloseIdle();
  cr_expect(fixture.listener->connection_count() == 0);
  cr_expect(ReadArrived(client).ended);
}

// Guards against a request that the kernel holds when idle connections are closed: it was read and
// dropped, so that its caller could not send it again.
Test(http_listener_drain, serves_a_request_that_has_arrived_unread) {
  HttpListenerFixture fixture;
  auto client = ConnectKept(fixture);
  fixture.policy.close_after_answer = true;
  Send(client, kRequest);
  cr_expect(fixture.listener->busy_count() == 1);
  fixture.listener->CloseIdle();
  fixture.Run();
  cr_assert(fixture.inbound.size() == 1);
  fixture.inbound[0]->Answer(net::Ok());
  fixture.Run();
  const auto received = ReadArrived(client);
  cr_expect(received.bytes.starts_with("HTTP/1.1 200 "));
  cr_expect(received.bytes.find("\r\nConnection: close\r\n") != std::string::npos);
}

// Guards against a request that crosses the close of its idle connection and is read: its caller
// could not send it again. The reset shows that it was not.
Test(http_listener_drain, leaves_a_request_that_crosses_the_close_unread) {
  HttpListenerFixture fixture;
  auto client = ConnectKept(fixture);
  fixture.listener->CloseIdle();
  asio::error_code error;
  asio::write(client, asio::buffer(kRequest), error);
  fixture.Run();
  cr_expect(fixture.inbound.empty());
  asio::write(client, asio::buffer(kRequest), error);
  cr_expect(error == asio::error::broken_pipe || error == asio::error::connection_reset);
}

// Guards against a drain that ends in the middle of a request whose first part was read while the
// request before it ran.
Test(http_listener_drain, reads_the_rest_of_a_request_that_has_begun_behind_another) {
  HttpListenerFixture fixture;
  auto client = fixture.Connect();
  Send(client, std::string(kRequest) + std::string(kRequest.substr(0, 10)));
  fixture.Run();
  cr_assert(fixture.inbound.size() == 1);
  fixture.policy.close_after_answer = true;
  std::exchange(fixture.inbound, {})[0]->Answer(net::Ok());
  fixture.Run();
  Send(client, kRequest.substr(10));
  fixture.Run();
  cr_assert(fixture.inbound.size() == 1);
  std::exchange(fixture.inbound, {})[0]->Answer(net::Ok());
  fixture.Run();
  const auto received = ReadArrived(client);
  const auto closes = received.bytes.find("\r\nConnection: close\r\n");
  cr_expect(closes != std::string::npos && closes > received.bytes.rfind("HTTP/1.1 200 "));
  cr_expect(received.ended);
}

// Guards against a line end behind a body that counts as a pipelined request, so that a drain waits
// for the rest of it.
Test(http_listener_drain, closes_after_an_answer_although_a_line_end_was_read_behind_its_request) {
  HttpListenerFixture fixture;
  auto client = fixture.Connect();
  Send(client, std::string(kChunked) + std::string(kEmptyLine));
  fixture.Run();
  cr_assert(fixture.inbound.size() == 1);
  fixture.policy.close_after_answer = true;
  fixture.inbound[0]->Answer(net::Ok());
  fixture.Run();
  const auto received = ReadArrived(client);
  cr_expect(received.bytes.find("\r\nConnection: close\r\n") != std::string::npos);
  cr_expect(received.ended);
}
