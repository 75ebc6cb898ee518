#include "node/entry_drain.h"

#include <algorithm>
#include <utility>

#include "logging/log.h"
#include "relay/drain_policy.h"

namespace wagtailpick::node {
namespace {

using logging::Level;

/// Callers cache lookup answers for up to `ControlOptions::directory_lifetime` (2 s at most), so
/// they are served for some time after the drain has started, or for `kServeFraction` of a short
/// grace time.
constexpr base::Duration kServeWhileDraining = std::chrono::milliseconds(3'200);
constexpr double kServeFraction = 0.6;
/// A drain ends only when no caller has connected for this time.
constexpr base::Duration kQuietTimeBeforeExit = std::chrono::milliseconds(400);
/// Part of the grace time that is kept for the last log lines and the exit of the process. Requests
/// that end until then are still answered.
constexpr base::Duration kExitMargin = std::chrono::milliseconds(150);
static_assert(kExitMargin < relay::kDrainEndMargin);

}  // namespace

EntryDrain::EntryDrain(asio::io_context& loop, base::MonotonicTime signalled_at,
                       base::Duration grace, relay::Relay& relay, net::HttpListener& callers,
                       std::function<void()> done)
    : grace_(grace),
      relay_(relay),
      callers_(callers),
      done_(std::move(done)),
      signalled_at_(signalled_at),
      grace_timer_(loop) {
  const auto delay = base::MonotonicNow() - signalled_at_;
  logging::Write(Level::kInfo, "drain_started", "no new callers are directed to this entry",
                 {{"running", std::to_string(relay_.running())},
                  {"delay_ms", std::to_string(delay.count() / 1'000)}});
  relay_.StartDraining(signalled_at_, grace_);
  grace_timer_.expires_after(std::max(grace_ - kExitMargin, base::Duration::zero()));
  grace_timer_.async_wait([this](asio::error_code error) {
    if (!error) End("the grace time has passed");
  });
}

void EntryDrain::Check(base::MonotonicTime now) {
  const auto serve_until = std::min(kServeWhileDraining, base::Scale(grace_, kServeFraction));
  if (now - signalled_at_ < serve_until) return;
  callers_.CloseIdle();
  // Waits for connections that were just accepted and for answers that are still being written.
  const bool quiet = relay_.running() == 0 && callers_.busy_count() == 0 &&
                     now - callers_.last_accepted() > kQuietTimeBeforeExit;
  if (quiet) End("no request is left");
}

void EntryDrain::End(const std::string& cause) {
  const auto done = std::exchange(done_, nullptr);
  if (!done) return;
  relay_.LogCutRequests();
  logging::Write(Level::kInfo, "drain_ended", cause,
                 {{"running", std::to_string(relay_.running())}});
  done();
}

}  // namespace wagtailpick::node
