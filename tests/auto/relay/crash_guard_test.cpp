#include "relay/crash_guard.h"

#include <criterion/criterion.h>

#include <asio/ip/tcp.hpp>

namespace wagtailpick::relay {
namespace {

constexpr const char* kLoopback = "127.0.0.1";

safety::Fingerprint Request() { return safety::FingerprintOf("h", "GET", "/x", ""); }

/// A crash guard with its loop, and an address at which no process listens.
class GuardFixture {
 public:
  GuardFixture() : log_(1'000), guard_(loop_, log_, registry_) {
    asio::ip::tcp::acceptor acceptor(loop_, {asio::ip::make_address(kLoopback), 0});
    closed_address_ =
        std::string(kLoopback) + ":" + std::to_string(acceptor.local_endpoint().port());
  }

  CrashGuard& guard() { return guard_; }
  const std::string& closed_address() const { return closed_address_; }

  /// Reports that the connection to a run of the upstream at `address` was lost during `Request()`,
  /// and waits for the probe.
  void LoseExchange(const std::string& address, std::uint64_t incarnation,
                    const safety::Fingerprint& request = Request()) {
    guard_.ExamineLoss({"1", request, "i-1", {address, incarnation}}, [] {});
    RunProbes();
  }

  /// Waits for all probes.
  void RunProbes() {
    loop_.restart();
    loop_.run();
  }

 private:
  asio::io_context loop_;
  metrics::Registry registry_;
  DecisionLog log_;
  CrashGuard guard_;
  std::string closed_address_;
};

/// An address that answers no connection attempt, as its accept queue is full.
class SilentAddress {
 public:
  SilentAddress() : acceptor_(loop_) {
    acceptor_.open(asio::ip::tcp::v4());
    acceptor_.bind({asio::ip::make_address(kLoopback), 0});
    acceptor_.listen(0);
    for (int i = 0; i < 3; ++i) {
      filling_.emplace_back(loop_);
      filling_.back().async_connect(acceptor_.local_endpoint(), [](asio::error_code) {});
    }
    loop_.poll();
  }

  std::string address() const {
    return std::string(kLoopback) + ":" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  asio::io_context loop_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<asio::ip::tcp::socket> filling_;
};

}  // namespace

// Guards against a request that is blocked too early or too late, and against a crash of one run
// that is counted twice.
Test(crash_guard, blocks_after_three_runs_have_crashed) {
  GuardFixture fixture;
  cr_expect(!fixture.guard().has_suspects());
  fixture.LoseExchange(fixture.closed_address(), 1);
  fixture.LoseExchange(fixture.closed_address(), 1);
  fixture.LoseExchange(fixture.closed_address(), 2);
  cr_expect(fixture.guard().IsSuspect(Request()));
  cr_expect(fixture.guard().IsOneCrashFromBlock(Request()));
  cr_expect(!fixture.guard().IsBlocked(Request()));
  fixture.LoseExchange(fixture.closed_address(), 3);
  cr_expect(fixture.guard().IsBlocked(Request()));
}

// Guards against an upstream that is taken for crashed because it refused a connection beyond its
// limit.
Test(crash_guard, withdraws_strikes_of_a_run_that_answers) {
  GuardFixture fixture;
  for (std::uint64_t run = 1; run <= 3; ++run) fixture.LoseExchange(fixture.closed_address(), run);
  // An answer to a request that was sent before the loss proves nothing.
  fixture.guard().HandleAnswer({fixture.closed_address(), 2}, base::MonotonicTime());
  cr_expect(fixture.guard().IsBlocked(Request()));
  fixture.guard().HandleAnswer({fixture.closed_address(), 2},
                               base::MonotonicNow() + std::chrono::seconds(1));
  cr_expect(!fixture.guard().IsBlocked(Request()));
}

// Guards against a harmless request that stays blocked because many upstreams crashed after the one
// that was taken for crashed, as when a data centre is lost.
Test(crash_guard, withdraws_strikes_of_a_run_that_answers_after_many_crashes) {
  constexpr std::uint64_t kOtherCrashes = 1'100;
  GuardFixture fixture;
  for (std::uint64_t run = 1; run <= 3; ++run) fixture.LoseExchange(fixture.closed_address(), run);
  cr_expect(fixture.guard().IsBlocked(Request()));
  const auto other = safety::FingerprintOf("h", "GET", "/other", "");
  for (std::uint64_t run = 1; run <= kOtherCrashes; ++run) {
    fixture.LoseExchange(fixture.closed_address(), 100 + run, other);
  }
  fixture.guard().HandleAnswer({fixture.closed_address(), 2},
                               base::MonotonicNow() + std::chrono::seconds(1));
  cr_expect(!fixture.guard().IsBlocked(Request()));
}

// Guards against a harmless request that stays blocked or suspect after it was served.
Test(crash_guard, clears_a_request_that_was_served) {
  GuardFixture fixture;
  for (std::uint64_t run = 1; run <= 3; ++run) fixture.LoseExchange(fixture.closed_address(), run);
  fixture.guard().AddSuccess(Request(), "127.0.0.1:1");
  cr_expect(!fixture.guard().IsBlocked(Request()));
  cr_expect(!fixture.guard().IsSuspect(Request()));
}

// Guards against a crash that is not counted because the probe's connection attempt timed out. The
// announcement of the next run at the address proves the crash.
Test(crash_guard, counts_a_crash_that_the_next_run_proves) {
  GuardFixture fixture;
  const SilentAddress silent;
  fixture.LoseExchange(silent.address(), 5);
  cr_expect(!fixture.guard().IsSuspect(Request()));
  fixture.guard().HandleRunStart(silent.address(), 5);
  cr_expect(!fixture.guard().IsSuspect(Request()));
  fixture.guard().HandleRunStart(silent.address(), 6);
  cr_expect(fixture.guard().IsSuspect(Request()));
}

// Guards against a crash that is not counted because many other exchanges were lost within the same
// seconds, as when a data centre cannot be reached.
Test(crash_guard, counts_a_crash_that_the_next_run_proves_beside_many_losses) {
  constexpr int kOtherLosses = 300;
  GuardFixture fixture;
  const SilentAddress silent;
  fixture.LoseExchange(silent.address(), 5);
  for (int i = 0; i < kOtherLosses; ++i) {
    const auto other = safety::FingerprintOf("h", "GET", "/" + std::to_string(i), "");
    fixture.guard().ExamineLoss({"1", other, "i-2", {silent.address(), 7}}, [] {});
  }
  fixture.RunProbes();
  fixture.guard().HandleRunStart(silent.address(), 6);
  cr_expect(fixture.guard().IsSuspect(Request()));
}

// Guards against an entry that does not know the crashes that other entries saw, after its own
// restart or at the first arrival of the request, and against changes that are reported twice.
Test(crash_guard, merges_reports_and_reports_its_own_changes_once) {
  GuardFixture first;
  for (std::uint64_t run = 1; run <= 3; ++run) first.LoseExchange(first.closed_address(), run);
  cr_expect(first.guard().ConsumeChanges().size() == 1);
  cr_expect(first.guard().ConsumeChanges().empty());
  GuardFixture second;
  second.guard().Merge(first.guard().reports());
  cr_expect(second.guard().IsBlocked(Request()));
}

}  // namespace wagtailpick::relay
