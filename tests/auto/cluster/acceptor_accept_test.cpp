#include <criterion/criterion.h>
#include <unistd.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <utility>

#include "base/endpoint.h"
#include "cluster/acceptor.h"
#include "cluster/message_codec.h"
#include "logging/log.h"
#include "net/frame_link.h"
#include "testing/no_file_descriptors.h"
#include "testing/run_loop.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using asio::ip::tcp;
using std::chrono::milliseconds;
using wagtailpick::testing::NoFileDescriptors;

/// An acceptor and a client whose connection it has not accepted yet.
struct Fixture {
  Fixture() : client(loop) {
    base::Endpoint endpoint{"127.0.0.1", 0};
    for (int attempt = 0; acceptor == nullptr && attempt < 20; ++attempt) {
      {
        const tcp::acceptor probe(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        endpoint.port = probe.local_endpoint().port();
      }
      cluster::Acceptor::Hooks hooks;
      hooks.opened = [this](const cluster::Session& /*session*/) { ++opened; };
      auto started = cluster::Acceptor::Start(loop, endpoint, std::move(hooks));
      if (started) acceptor = std::move(started.value());
    }
    RunFor(milliseconds(20));
    client.connect({asio::ip::address_v4::loopback(), endpoint.port});
  }

  /// Returns the number of handlers that ran.
  std::size_t RunFor(milliseconds span) { return wagtailpick::testing::RunFor(loop, span); }

  void SendHello() {
    cluster::Hello hello;
    hello.vm = "vm";
    link = std::make_shared<net::FrameLink>(std::move(client));
    link->Start({[](const std::string& /*frame*/) {}, [](const std::string& /*reason*/) {}});
    link->Send(cluster::Encode(hello));
  }

  asio::io_context loop{1};
  std::unique_ptr<cluster::Acceptor> acceptor;
  int opened = 0;
  tcp::socket client;
  std::shared_ptr<net::FrameLink> link;
};

/// Destroys the acceptor after `turns` turns of the event loop.
void DestroyAfter(Fixture& fixture, int turns) {
  asio::post(fixture.loop, [&fixture, turns] {
    if (turns == 0) return fixture.acceptor.reset();
    DestroyAfter(fixture, turns - 1);
  });
}

bool IsClosed(tcp::socket& client) {
  client.non_blocking(true);
  char byte = 0;
  asio::error_code error;
  client.read_some(asio::buffer(&byte, 1), error);
  return error == asio::error::eof || error == asio::error::connection_reset;
}

}  // namespace

// Guards against a replica that takes a whole processor while it has no file descriptor left, and
// against one that accepts nobody afterwards.
Test(acceptor_accept, pauses_after_a_failed_accept) {
  Fixture fixture;
  std::size_t handlers = 0;
  {
    const NoFileDescriptors none;
    handlers = fixture.RunFor(milliseconds(500));
  }
  cr_expect(handlers < 100, "%zu handlers ran in 0.5 s", handlers);
  fixture.SendHello();
  fixture.RunFor(milliseconds(300));
  cr_expect(fixture.opened == 1);
}

// Guards against failed accepts that leave no trace in the log, and against a log that fills up
// with one line for each of them.
Test(acceptor_accept, logs_a_row_of_failures_once) {
  const std::string path = "/tmp/acceptor_accept_test." + std::to_string(getpid());
  cr_assert(logging::Start({"vm", "dc", path, false}).has_value());
  Fixture fixture;
  {
    const NoFileDescriptors none;
    fixture.RunFor(milliseconds(700));
  }
  std::ifstream log(path);
  std::string line;
  int lines = 0;
  while (std::getline(log, line)) lines += line.find("accept_failed") != std::string::npos ? 1 : 0;
  cr_expect(lines == 1, "%d lines", lines);
  std::filesystem::remove(path);
}

// Guards against an accept that completes just before the acceptor is destroyed and whose handler
// then uses it: the second connection waits already when the first one is accepted.
Test(acceptor_accept, drops_connections_that_were_accepted_before_the_destruction) {
  for (int turns = 0; turns < 8; ++turns) {
    Fixture fixture;
    tcp::socket second(fixture.loop);
    second.connect(fixture.client.remote_endpoint());
    DestroyAfter(fixture, turns);
    fixture.RunFor(milliseconds(30));
    cr_expect(IsClosed(fixture.client), "first, %d turns", turns);
    cr_expect(IsClosed(second), "second, %d turns", turns);
  }
}
