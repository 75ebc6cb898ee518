#include "net/frame_link.h"

#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>

#include "testing/run_loop.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using asio::ip::tcp;
using std::chrono::milliseconds;

/// A link and a plain socket as its peer.
struct Fixture {
  Fixture() : peer(loop) {
    tcp::acceptor acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    peer.connect(acceptor.local_endpoint());
    link = std::make_shared<net::FrameLink>(acceptor.accept());
    net::FrameLink::Hooks hooks;
    hooks.frame = [this](const std::string& frame) {
      if (frame == "fail") throw std::runtime_error("cannot handle this");
      frames.push_back(frame);
    };
    hooks.closed = [this](const std::string& reason) { closed_for = reason; };
    link->Start(std::move(hooks));
  }

  void Run(milliseconds time) { testing::RunFor(loop, time); }

  asio::io_context loop;
  tcp::socket peer;
  std::shared_ptr<net::FrameLink> link;
  std::vector<std::string> frames;
  std::string closed_for;
};

}  // namespace

// A link must not count as silent while a long frame arrives slowly: on a slow VM's network link a
// catalog of 400 KB takes 1.6 s, which equals the silence timeout.
Test(frame_link, partial_frames_update_last_received) {
  Fixture fixture;
  const auto before = fixture.link->last_received();
  // The length and the first byte of a frame of 100 bytes.
  asio::write(fixture.peer, asio::buffer(std::string("\x64\0\0\0x", 5)));
  fixture.Run(milliseconds(100));
  cr_expect(fixture.frames.empty());
  cr_expect(fixture.link->last_received() > before);
  asio::write(fixture.peer, asio::buffer(std::string(99, 'y')));
  fixture.Run(milliseconds(100));
  cr_assert(fixture.frames.size() == 1);
  cr_expect(fixture.frames.front() == "x" + std::string(99, 'y'));
  fixture.link->Close();
}

// Guards against a frame that ends the process because its handler throws.
Test(frame_link, a_failed_handler_closes_the_link) {
  Fixture fixture;
  asio::write(fixture.peer, asio::buffer(std::string("\x4\0\0\0fail", 8)));
  fixture.Run(milliseconds(100));
  cr_expect(!fixture.link->open());
  cr_expect(fixture.closed_for.find("cannot handle this") != std::string::npos);
}
