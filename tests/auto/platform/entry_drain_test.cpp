#include <criterion/criterion.h>

#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "entry_host.h"
#include "platform/standin_wire.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using platform_test::ControlGroup;
using platform_test::EntryHost;
using platform_test::WorkingServer;
using std::chrono::milliseconds;

constexpr base::Duration kGrace = std::chrono::seconds(6);
/// Requests that are sent later than this after the signal must be answered.
constexpr base::Duration kMayBeCutUntil = std::chrono::seconds(3);
constexpr base::Duration kSendUntil = std::chrono::seconds(5);
constexpr base::Duration kSendEvery = milliseconds(50);
constexpr base::Duration kCallTimeout = std::chrono::seconds(5);
constexpr int kLongDeadlineMs = 4'000;
constexpr int kShortDeadlineMs = 1'500;

/// The config of the stand-in, in which charges may take 4 s.
std::string ConfigWithLongCharges() {
  auto config = platform::TwoRouteConfig(1, "menu");
  const std::string from = "\"timeoutMs\":1500";
  const auto at = config.find(from, config.find("/charge/"));
  cr_assert(at != std::string::npos);
  return config.replace(at, from.size(), "\"timeoutMs\":4000");
}

struct Outcome {
  base::Duration sent_at{};
  bool is_long = false;
  /// The server has begun to run it.
  bool ran = false;
  /// Status of the answer; 0 for none.
  int status = 0;
};

/// The time that a loop is blocked while the signal to stop waits.
constexpr base::Duration kBlockedFor = milliseconds(1'500);
constexpr base::Duration kLongBlock = milliseconds(3'300);
/// Callers use an address for this time after they have looked it up.
constexpr base::Duration kAddressLifetime = std::chrono::seconds(2);
constexpr base::Duration kShortGrace = std::chrono::seconds(2);

}  // namespace

// Guards against requests that an entry takes after SIGTERM and then cuts: those that came 3.0 to
// 3.4 s after it and took 2.5 s were cut after 5.7 s. An entry that refuses all would be no better:
// what ends in time is served.
Test(entry_drain, answers_every_request_that_it_takes_late, .timeout = 60) {
  const ControlGroup group;
  cr_assert(group.CallUntilAccepted(platform::PutConfig(ConfigWithLongCharges())));
  WorkingServer server(group, "menu", [](const http::Request& request) {
    return request.target.starts_with("/charge/") ? milliseconds(2'500) : milliseconds(100);
  });
  EntryHost entry(group, kGrace);
  cr_assert(entry.WaitUntilReady());
  std::this_thread::sleep_for(std::chrono::seconds(1));

  std::mutex mutex;
  std::vector<Outcome> outcomes;
  std::vector<std::thread> clients;
  const auto send = [&](bool is_long, base::Duration sent_at, std::size_t number) {
    const auto answer =
        entry.Call(platform::ClientRequest("POST", is_long ? "/charge/1" : "/read/1",
                                           "id-" + std::to_string(number),
                                           is_long ? kLongDeadlineMs : kShortDeadlineMs, "object"),
                   kCallTimeout);
    const std::lock_guard lock(mutex);
    const bool ran = server.HasRun("id-" + std::to_string(number));
    outcomes.push_back({sent_at, is_long, ran, answer ? answer->status : 0});
  };
  entry.Drain();
  const auto start = base::MonotonicNow();
  for (base::Duration at{}; at < kSendUntil; at += kSendEvery) {
    std::this_thread::sleep_for(start + at - base::MonotonicNow());
    clients.emplace_back(send, clients.size() % 2 == 0, at, clients.size());
  }
  for (auto& client : clients) client.join();

  int short_served = 0;
  int long_served = 0;
  int unread = 0;
  for (const auto& outcome : outcomes) {
    const auto millis = static_cast<long long>(outcome.sent_at.count() / 1'000);
    const bool must_be_answered = !outcome.is_long || outcome.sent_at > kMayBeCutUntil;
    if (must_be_answered && outcome.ran) {
      cr_expect(outcome.status == 200, "%d for the request at %lld ms, which has run",
                outcome.status, millis);
    }
    // Each request comes on a new connection, which has a second for it.
    if (must_be_answered && !outcome.ran && outcome.status != 503) ++unread;
    if (outcome.status == 200) ++(outcome.is_long ? long_served : short_served);
  }
  cr_expect(unread == 0, "%d requests were not read", unread);
  // Short requests are served until 4.2 s after the signal, long ones at least for the first
  // second.
  cr_expect(short_served >= 38, "%d short requests were served", short_served);
  cr_expect(long_served >= 10, "%d long requests were served", long_served);
}

// Guards against a drain that counts from when a busy process handled the signal: charges of 4 s
// were taken until 1.7 s after that, and SIGKILL came 6 s after the signal itself.
Test(entry_drain, counts_from_the_signal_if_the_loop_was_blocked, .timeout = 60) {
  const ControlGroup group;
  cr_assert(group.CallUntilAccepted(platform::PutConfig(ConfigWithLongCharges())));
  WorkingServer server(group, "menu", [](const http::Request&) { return milliseconds(100); });
  EntryHost entry(group, kGrace);
  cr_assert(entry.WaitUntilReady());
  std::this_thread::sleep_for(std::chrono::seconds(1));

  const auto signalled_at = base::MonotonicNow();
  entry.DrainAfterBlockedLoop(kBlockedFor);
  std::this_thread::sleep_for(signalled_at + kBlockedFor + milliseconds(500) -
                              base::MonotonicNow());
  const auto charge = [&](const std::string& id, int deadline_ms) {
    return entry.Call(platform::ClientRequest("POST", "/charge/1", id, deadline_ms, "object"),
                      kCallTimeout);
  };
  const auto too_late = charge("id-too-late", kLongDeadlineMs);
  const auto in_time = charge("id-in-time", kShortDeadlineMs);
  cr_assert(too_late.has_value() && in_time.has_value());
  cr_expect(too_late->status == 503, "%d", too_late->status);
  cr_expect(in_time->status == 200, "%d", in_time->status);
}

// Guards against a drain that ends before callers have forgotten the address: they learn of it only
// when the signal is handled. After a loop that was blocked for 3.3 s, it ended at once.
Test(entry_drain, serves_until_callers_have_forgotten_it, .timeout = 60) {
  const ControlGroup group;
  cr_assert(group.CallUntilAccepted(platform::PutConfig(ConfigWithLongCharges())));
  EntryHost entry(group, kGrace);
  cr_assert(entry.WaitUntilReady());
  std::this_thread::sleep_for(std::chrono::seconds(1));
  entry.DrainAfterBlockedLoop(kLongBlock);
  std::this_thread::sleep_for(kLongBlock);
  const auto handled_at = base::MonotonicNow();
  while (!entry.drained() && base::MonotonicNow() < handled_at + kGrace) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  cr_assert(entry.drained());
  const auto served_for = base::MonotonicNow() - handled_at;
  cr_expect(served_for > kAddressLifetime, "drain ended %lld ms after the signal was handled",
            static_cast<long long>(served_for.count() / 1'000));
}

// Guards against a connection that is closed without an answer at the end of the grace time, which
// tells its caller nothing: a charge that was passed on before the signal and takes 3 s.
Test(entry_drain, answers_what_still_runs_at_the_end, .timeout = 60) {
  const ControlGroup group;
  cr_assert(group.CallUntilAccepted(platform::PutConfig(ConfigWithLongCharges())));
  WorkingServer server(group, "menu", [](const http::Request&) { return milliseconds(3'000); });
  EntryHost entry(group, kShortGrace);
  cr_assert(entry.WaitUntilReady());
  std::this_thread::sleep_for(std::chrono::seconds(1));

  std::optional<http::Response> answer;
  std::thread client([&] {
    answer = entry.Call(
        platform::ClientRequest("POST", "/charge/1", "id-cut", kLongDeadlineMs, "object"),
        kCallTimeout);
  });
  std::this_thread::sleep_for(milliseconds(200));
  const auto signalled_at = base::MonotonicNow();
  entry.Drain();
  client.join();
  const auto after = base::MonotonicNow() - signalled_at;
  cr_assert(server.HasRun("id-cut"));
  cr_assert(answer.has_value());
  cr_expect(answer->status == 502, "%d", answer->status);
  const auto millis = static_cast<long long>(after.count() / 1'000);
  // Its server might still answer before the last sixth of the grace time.
  cr_expect(after > kShortGrace * 5 / 6 && after < kShortGrace, "after %lld ms", millis);
}

// Guards against a caller whose connection the kernel completes when nobody will serve it: the
// listening socket stayed open until the process was gone.
Test(entry_drain, refuses_connections_once_it_has_ended, .timeout = 60) {
  const ControlGroup group;
  cr_assert(group.CallUntilAccepted(platform::PutConfig(ConfigWithLongCharges())));
  EntryHost entry(group, kShortGrace);
  cr_assert(entry.WaitUntilReady());
  cr_assert(entry.accepting_addresses() == 2);
  entry.Drain();
  const auto end = base::MonotonicNow() + 2 * kShortGrace;
  while (!entry.drained() && base::MonotonicNow() < end) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  cr_assert(entry.drained());
  cr_expect(entry.accepting_addresses() == 0);
}
