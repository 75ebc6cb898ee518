#include "net/liveness_probe.h"

#include <criterion/criterion.h>

#include <asio/ip/tcp.hpp>

namespace {

using wagtailpick::net::LivenessProbe;
using wagtailpick::net::ProbeVerdict;

constexpr const char* kLoopback = "127.0.0.1";

}  // namespace

// Guards against a connection that was merely lost being taken for the end of its upstream, and
// against an end that isn't seen.
Test(liveness_probe, tells_an_ended_process_from_one_that_listens) {
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop, {asio::ip::make_address(kLoopback), 0});
  const wagtailpick::base::Endpoint endpoint{kLoopback, acceptor.local_endpoint().port()};
  LivenessProbe probe(loop);
  std::vector<ProbeVerdict> verdicts;
  const auto note = [&](ProbeVerdict verdict) { verdicts.push_back(verdict); };
  probe.Start(endpoint, note);
  probe.Start(endpoint, note);
  loop.run();
  acceptor.close();
  loop.restart();
  probe.Start(endpoint, note);
  loop.run();
  cr_assert(verdicts.size() == 3);
  cr_expect(verdicts.at(0) == ProbeVerdict::kListening);
  cr_expect(verdicts.at(1) == ProbeVerdict::kListening);
  cr_expect(verdicts.at(2) == ProbeVerdict::kEnded);
}
