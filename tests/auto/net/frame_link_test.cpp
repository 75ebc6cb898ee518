#include "net/frame_link.h"

#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <memory>
#include <string>
#include <thread>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using asio::ip::tcp;
using std::chrono::milliseconds;

/// A link and the plain socket at its other end.
struct World {
  World() : far(loop) {
    tcp::acceptor acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    far.connect(acceptor.local_endpoint());
    link = std::make_shared<net::FrameLink>(acceptor.accept());
    net::FrameLink::Hooks hooks;
    hooks.frame = [this](const std::string& frame) { frames.push_back(frame); };
    hooks.closed = [](const std::string&) {};
    link->Start(std::move(hooks));
  }

  void Run(milliseconds time) {
    loop.restart();
    loop.run_for(time);
  }

  asio::io_context loop;
  tcp::socket far;
  std::shared_ptr<net::FrameLink> link;
  std::vector<std::string> frames;
};

}  // namespace

// Guards against a link that is given up for silent while a long frame comes over a slow VM's link:
// a catalog of 400 KB takes 1.6 s there, as long as a silence may last.
Test(frame_link, parts_of_a_frame_are_a_sign_of_life) {
  World world;
  const auto before = world.link->last_received();
  // A frame of 100 bytes, of which the length and the first byte have come.
  asio::write(world.far, asio::buffer(std::string("\x64\0\0\0x", 5)));
  world.Run(milliseconds(100));
  cr_expect(world.frames.empty());
  cr_expect(world.link->last_received() > before);
  asio::write(world.far, asio::buffer(std::string(99, 'y')));
  world.Run(milliseconds(100));
  cr_assert(world.frames.size() == 1);
  cr_expect(world.frames.front() == "x" + std::string(99, 'y'));
  world.link->Close();
}
