#include "net/liveness_probe.h"

#include <criterion/criterion.h>

#include <asio/ip/tcp.hpp>

namespace {

using wagtailpick::net::LivenessProbe;
using wagtailpick::net::ProbeVerdict;

constexpr const char* kLoopback = "127.0.0.1";

}  // namespace

// A lost connection must not be mistaken for an ended process, and an ended process must be
// detected.
Test(liveness_probe, distinguishes_ended_from_listening_process) {
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::make_address(kLoopback), 0});
  const wagtailpick::base::Endpoint endpoint{kLoopback, acceptor.local_endpoint().port()};
  LivenessProbe probe(loop);
  std::vector<ProbeVerdict> verdicts;
  const auto record = [&](ProbeVerdict verdict) { verdicts.push_back(verdict); };
  probe.Start(endpoint, record);
  probe.Start(endpoint, record);
  loop.run();
  acceptor.close();
  loop.restart();
  probe.Start(endpoint, record);
  loop.run();
  cr_assert(verdicts.size() == 3);
  cr_expect(verdicts.at(0) == ProbeVerdict::kListening);
  cr_expect(verdicts.at(1) == ProbeVerdict::kListening);
  cr_expect(verdicts.at(2) == ProbeVerdict::kEnded);
}
