#include <criterion/criterion.h>

#include <asio/ip/tcp.hpp>
#include <string>
#include <utility>

#include "http_listener_fixture.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using net::HttpListenerFixture;
using net::ReadArrived;
using net::Send;

const std::string kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

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
