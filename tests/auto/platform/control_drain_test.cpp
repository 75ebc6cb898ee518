#include <criterion/criterion.h>

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <string>
#include <thread>

#include "control_group.h"
#include "net/http_text.h"
#include "platform/standin_wire.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using platform_test::ControlGroup;
using std::chrono::milliseconds;

constexpr milliseconds kShortWait{100};
constexpr int kMaxWaits = 15;

bool WaitUntilDrained(const ControlGroup& group, std::size_t node) {
  for (int i = 0; i < kMaxWaits && !group.drained(node); ++i) {
    std::this_thread::sleep_for(kShortWait);
  }
  return group.drained(node);
}

asio::error_code Connect(const std::string& ip, std::uint16_t port) {
  asio::io_context loop;
  asio::ip::tcp::socket client(loop);
  asio::error_code error;
  client.connect({asio::ip::make_address(ip), port}, error);
  return error;
}

}  // namespace

// Guards against a control replica that is stopped in the middle of a call: its caller got no
// answer, though the order may have been accepted.
Test(control_drain, answers_a_call_that_has_begun) {
  ControlGroup group;
  cr_assert(group.CallUntilAccepted(platform::PutConfig(platform::TwoRouteConfig(1, "menu"))));
  const auto bytes = net::RenderRequest(platform::PutConfig(platform::TwoRouteConfig(1, "menu")));
  const auto half = bytes.size() / 2;
  asio::io_context loop;
  asio::ip::tcp::socket client(loop);
  client.connect({asio::ip::make_address(group.ip(0)), ControlGroup::orders_port()});
  asio::write(client, asio::buffer(bytes.substr(0, half)));
  std::this_thread::sleep_for(kShortWait);
  group.Drain(0);
  std::this_thread::sleep_for(kShortWait);
  cr_expect(!group.drained(0));
  asio::write(client, asio::buffer(bytes.substr(half)));
  std::array<char, 1'024> buffer{};
  asio::error_code error;
  const std::string answer(buffer.data(), client.read_some(asio::buffer(buffer), error));
  cr_expect(answer.starts_with("HTTP/1.1 200 "));
  cr_expect(answer.find("Connection: close") != std::string::npos);
  client.close();
  cr_expect(WaitUntilDrained(group, 0));
}

// Guards against connections that the kernel accepts for a replica that serves nobody any more, as
// its process still writes its last log lines: their callers wait for an answer in vain.
Test(control_drain, refuses_connections_once_the_drain_has_ended) {
  ControlGroup group;
  cr_assert(group.CallUntilAccepted(platform::PutConfig(platform::TwoRouteConfig(1, "menu"))));
  group.Drain(0);
  cr_assert(WaitUntilDrained(group, 0));
  cr_expect(Connect(group.ip(0), ControlGroup::orders_port()) == asio::error::connection_refused);
  cr_expect(Connect(group.ip(0), ControlGroup::cluster_port()) == asio::error::connection_refused);
}
