#include <criterion/criterion.h>
#include <unistd.h>

#include <asio/ip/tcp.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "http_listener_fixture.h"
#include "logging/log.h"
#include "testing/no_file_descriptors.h"
#include "testing/run_loop.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using asio::ip::tcp;
using net::HttpListenerFixture;
using net::Send;
using wagtailpick::testing::NoFileDescriptors;

constexpr std::string_view kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr int kRounds = 6;
/// Longer than the interval between two timeout checks, so that a check is due when the listener
/// runs again.
constexpr std::chrono::milliseconds kBeyondTimeoutCheck{600};
constexpr std::chrono::milliseconds kBeyondAcceptPause{250};

/// Runs the listener for a fixed time: it accepts again and again while that fails.
void RunFor(HttpListenerFixture& fixture, std::chrono::milliseconds span) {
  wagtailpick::testing::RunFor(fixture.loop, span);
}

}  // namespace

// Guards against a process that accepts nobody any more after it was out of file descriptors: a
// timeout check that was due at the same moment cancelled the pause before the next accept.
Test(http_listener_accept, goes_on_after_file_descriptors_ran_out) {
  HttpListenerFixture fixture;
  std::vector<tcp::socket> clients;
  for (int round = 0; round < kRounds; ++round) {
    fixture.Run();
    clients.push_back(fixture.Connect());
    Send(clients.back(), kRequest);
    std::this_thread::sleep_for(kBeyondTimeoutCheck);
    {
      const NoFileDescriptors none;
      RunFor(fixture, kBeyondAcceptPause);
    }
    cr_assert(fixture.inbound.size() == static_cast<std::size_t>(round));
    RunFor(fixture, kBeyondAcceptPause);
    cr_assert(fixture.inbound.size() == static_cast<std::size_t>(round) + 1, "round %d", round);
  }
}

// Guards against a log that fills up while a process is out of file descriptors: one line for each
// attempt to accept.
Test(http_listener_accept, logs_a_row_of_failures_once) {
  const std::string path = "/tmp/http_listener_accept_test." + std::to_string(getpid());
  cr_assert(logging::Start({"vm", "dc", path, false}).has_value());
  HttpListenerFixture fixture;
  auto client = fixture.Connect();
  {
    const NoFileDescriptors none;
    for (int i = 0; i < 5; ++i) RunFor(fixture, kBeyondAcceptPause);
  }
  RunFor(fixture, kBeyondAcceptPause);
  cr_expect(fixture.listener->connection_count() == 1);
  std::ifstream log(path);
  std::string line;
  int lines = 0;
  while (std::getline(log, line)) lines += line.find("accept_failed") != std::string::npos ? 1 : 0;
  cr_expect(lines == 1, "%d lines", lines);
  std::filesystem::remove(path);
}
