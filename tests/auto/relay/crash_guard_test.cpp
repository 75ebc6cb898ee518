#include "relay/crash_guard.h"

#include <criterion/criterion.h>

#include <asio/ip/tcp.hpp>

namespace wagtailpick::relay {
namespace {

constexpr const char* kLoopback = "127.0.0.1";

safety::Fingerprint Request() { return safety::FingerprintOf("h", "GET", "/x", ""); }

/// A guard with its loop, and an address at which nobody listens.
class Host {
 public:
  Host() : log_(1'000), guard_(loop_, log_, registry_) {
    asio::ip::tcp::acceptor acceptor(loop_, {asio::ip::make_address(kLoopback), 0});
    ended_ = std::string(kLoopback) + ":" + std::to_string(acceptor.local_endpoint().port());
  }

  CrashGuard& guard() { return guard_; }
  const std::string& ended() const { return ended_; }

  /// A run of the upstream at `address` is lost under the request.
  void Lose(const std::string& address, std::uint64_t incarnation) {
    guard_.ExamineLoss({"1", Request(), "i-1", {address, incarnation}}, [] {});
    loop_.restart();
    loop_.run();
  }

 private:
  asio::io_context loop_;
  metrics::Registry registry_;
  DecisionLog log_;
  CrashGuard guard_;
  std::string ended_;
};

}  // namespace

// Guards against a request that is stopped too early or too late, and against ends of one run that
// count several times.
Test(crash_guard, blocks_after_three_runs_have_ended) {
  Host host;
  cr_expect(!host.guard().has_suspects());
  host.Lose(host.ended(), 1);
  host.Lose(host.ended(), 1);
  host.Lose(host.ended(), 2);
  cr_expect(host.guard().IsSuspect(Request()));
  cr_expect(host.guard().IsOneCrashFromBlock(Request()));
  cr_expect(!host.guard().IsBlocked(Request()));
  host.Lose(host.ended(), 3);
  cr_expect(host.guard().IsBlocked(Request()));
}

// Guards against an upstream that refuses connections beyond its limit and is taken for ended.
Test(crash_guard, withdraws_the_end_of_a_run_that_answers) {
  Host host;
  for (std::uint64_t run = 1; run <= 3; ++run) host.Lose(host.ended(), run);
  // An answer to a request that was sent before says nothing.
  host.guard().HandleAnswer({host.ended(), 2}, base::MonotonicTime());
  cr_expect(host.guard().IsBlocked(Request()));
  host.guard().HandleAnswer({host.ended(), 2}, base::MonotonicNow() + std::chrono::seconds(1));
  cr_expect(!host.guard().IsBlocked(Request()));
}

// Guards against a sound request that stays stopped, or suspect, after it has been served.
Test(crash_guard, clears_a_request_that_is_served) {
  Host host;
  for (std::uint64_t run = 1; run <= 3; ++run) host.Lose(host.ended(), run);
  host.guard().AddSuccess(Request(), "127.0.0.1:1");
  cr_expect(!host.guard().IsBlocked(Request()));
  cr_expect(!host.guard().IsSuspect(Request()));
}

// Guards against an end that isn't counted because the connection attempt got no answer: the next
// run at the address shows it.
Test(crash_guard, counts_an_end_that_the_next_run_shows) {
  Host host;
  asio::io_context loop;
  asio::ip::tcp::acceptor full(loop);
  full.open(asio::ip::tcp::v4());
  full.bind({asio::ip::make_address(kLoopback), 0});
  full.listen(0);
  // Fills the queue of new connections, so that the attempt isn't answered.
  std::vector<asio::ip::tcp::socket> filling;
  for (int i = 0; i < 3; ++i) {
    filling.emplace_back(loop);
    filling.back().async_connect(full.local_endpoint(), [](asio::error_code) {});
  }
  loop.poll();
  const auto address = std::string(kLoopback) + ":" + std::to_string(full.local_endpoint().port());
  host.Lose(address, 5);
  cr_expect(!host.guard().IsSuspect(Request()));
  host.guard().HandleRunStart(address, 5);
  cr_expect(!host.guard().IsSuspect(Request()));
  host.guard().HandleRunStart(address, 6);
  cr_expect(host.guard().IsSuspect(Request()));
}

// Guards against an entry that starts again, or meets the request for the first time, and doesn't
// know what others have seen.
Test(crash_guard, learns_from_others_and_tells_its_own_once) {
  Host first;
  for (std::uint64_t run = 1; run <= 3; ++run) first.Lose(first.ended(), run);
  cr_expect(first.guard().ConsumeChanges().size() == 1);
  cr_expect(first.guard().ConsumeChanges().empty());
  Host second;
  second.guard().Merge(first.guard().reports());
  cr_expect(second.guard().IsBlocked(Request()));
}

}  // namespace wagtailpick::relay
