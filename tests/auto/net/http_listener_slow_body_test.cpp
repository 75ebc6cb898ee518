#include <criterion/criterion.h>

#include <array>
#include <string>
#include <string_view>

#include "http_listener_fixture.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using net::HttpListenerFixture;
using net::ReadArrived;
using net::Send;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kBodyTimeout{1};
constexpr milliseconds kPause{50};
/// Much longer than the body timeout and the interval between two timeout checks.
constexpr seconds kMaxWait{8};

/// The start of a request, and what its client sends again and again after it.
struct EndlessRequest {
  std::string_view name;
  std::string_view start;
  std::string_view repeated;
};

constexpr std::array<EndlessRequest, 4> kEndlessRequests{{
    {"body with a length", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n", "b"},
    {"body in chunks", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
     "1\r\nb\r\n"},
    {"chunk extension", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;", "e"},
    {"trailer", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
     "T: t\r\n"},
}};

/// Sends the request until its connection ends. Returns what came back.
std::string SendUntilEnd(HttpListenerFixture& fixture, const EndlessRequest& request) {
  auto client = fixture.Connect();
  Send(client, request.start);
  std::string received;
  const auto end = base::MonotonicNow() + kMaxWait;
  while (base::MonotonicNow() < end) {
    fixture.Run(kPause);
    const auto arrived = ReadArrived(client);
    received += arrived.bytes;
    if (arrived.ended || !received.empty()) return received;
    Send(client, request.repeated);
  }
  return received;
}

}  // namespace

// Guards against clients that hold a connection, and the memory that was counted for the body, for
// as long as they send a byte now and then.
Test(http_listener_slow_body, is_refused_if_it_comes_byte_by_byte) {
  for (const auto& request : kEndlessRequests) {
    HttpListenerFixture fixture;
    fixture.policy.body_timeout = kBodyTimeout;
    const auto received = SendUntilEnd(fixture, request);
    cr_expect(received.starts_with("HTTP/1.1 408 "), "%s: '%s'", request.name.data(),
              received.c_str());
    cr_expect(fixture.inbound.empty(), "%s", request.name.data());
  }
}

// Guards against uploads over slow links that are refused although their bytes arrive all the time.
Test(http_listener_slow_body, is_read_to_its_end_if_it_keeps_its_rate) {
  constexpr int kParts = 50;
  const std::string part(net::kMinBodyBytesPerSecond / 5, 'b');
  HttpListenerFixture fixture;
  fixture.policy.body_timeout = kBodyTimeout;
  auto client = fixture.Connect();
  Send(client, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                   std::to_string(kParts * part.size()) + "\r\n\r\n");
  for (int i = 0; i < kParts; ++i) {
    fixture.Run(kPause);
    Send(client, part);
  }
  fixture.Run(kPause);
  cr_assert(fixture.inbound.size() == 1);
  cr_expect(fixture.inbound.front()->request.body.size() == kParts * part.size());
}

// Guards against bodies that are refused because the head before them took its time, as a config
// may allow longer heads than bodies.
Test(http_listener_slow_body, has_its_own_time_after_a_slow_head) {
  /// Longer than the interval between two timeout checks, and shorter than the body timeout.
  constexpr milliseconds kCheckWait{700};
  HttpListenerFixture fixture;
  fixture.policy.header_timeout = kMaxWait;
  fixture.policy.body_timeout = kBodyTimeout;
  auto client = fixture.Connect();
  Send(client, "POST /x HTTP/1.1\r\nHost: h\r\n");
  for (milliseconds waited{0}; waited < 2 * kBodyTimeout; waited += kPause) fixture.Run(kPause);
  Send(client, "Content-Length: 4\r\n\r\nbo");
  for (milliseconds waited{0}; waited < kCheckWait; waited += kPause) fixture.Run(kPause);
  Send(client, "dy");
  fixture.Run(kPause);
  cr_assert(fixture.inbound.size() == 1, "'%s'", ReadArrived(client).bytes.c_str());
}
