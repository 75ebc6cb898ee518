#include <criterion/criterion.h>

#include <algorithm>
#include <string_view>
#include <thread>
#include <vector>

#include "http_listener_fixture.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using net::HttpListenerFixture;
using net::ReadArrived;
using net::Send;
using std::chrono::milliseconds;

constexpr std::string_view kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
/// More than the reactor handles before it looks at its timers (128 in Asio).
constexpr std::size_t kClients = 300;
constexpr milliseconds kIdleTimeout{500};
/// Longer than the idle timeout and the interval between two timeout checks.
constexpr milliseconds kPause{2'500};

}  // namespace

// Guards against requests that are lost without an answer: the process was paused for longer than
// the idle timeout, and closed kept connections whose next requests it had not read yet.
Test(http_listener_pause, requests_that_arrived_meanwhile_are_served) {
  HttpListenerFixture fixture;
  fixture.policy.idle_timeout = kIdleTimeout;
  fixture.handle = [](const auto& request) { request->Answer(net::Ok()); };
  std::vector<asio::ip::tcp::socket> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(fixture.Connect());
    fixture.Run(milliseconds(1));
  }
  cr_assert(fixture.listener->connection_count() == kClients);
  std::this_thread::sleep_for(kPause);
  for (auto& client : clients) Send(client, kGet);
  fixture.Run();
  const auto served = std::count_if(clients.begin(), clients.end(), [](auto& client) {
    return ReadArrived(client).bytes.starts_with("HTTP/1.1 200 ");
  });
  cr_expect(served == kClients, "%td of %zu served", served, kClients);
}
