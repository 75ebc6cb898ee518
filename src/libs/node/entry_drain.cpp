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
/// grace time. Callers learn of the drain when it starts, however late that is after the signal.
constexpr base::Duration kServeWhileDraining = std::chrono::milliseconds(3'200);
constexpr double kServeFraction = 0.6;
/// A drain ends only when no caller has connected or sent a request for this time.
constexpr base::Duration kQuietTimeBeforeExit = std::chrono::milliseconds(400);
/// Part of the grace time that is kept for the last log lines and the exit of the process.
constexpr base::Duration kExitMargin = std::chrono::milliseconds(150);
static_assert(logging::kStopTimeout < kExitMargin);
/// Time before that in which the last answers are written and their connections close.
constexpr base::Duration kLastAnswersTime = std::chrono::milliseconds(100);
static_assert(kExitMargin + kLastAnswersTime < relay::kDrainEndMargin);
/// Both together take at most this part of a short grace time: a request that is ended earlier
/// might still be answered by its upstream.
constexpr double kMaxEndFraction = 0.125;
/// Time that connections have for their request when the listener has stopped to accept: they were
/// completed by the kernel just before.
constexpr base::Duration kLastRequestsTime = std::chrono::milliseconds(50);
/// Interval between checks whether the last answers have been sent.
constexpr base::Duration kLastAnswersCheck = std::chrono::milliseconds(10);

/// Returns `margin`, or a part of it in a short grace time.
base::Duration EndMargin(base::Duration margin, base::Duration grace) {
  const double longest = base::ToSeconds(kExitMargin + kLastAnswersTime);
  const double scale = std::min(1.0, kMaxEndFraction * base::ToSeconds(grace) / longest);
  return base::Scale(margin, scale);
}

}  // namespace

EntryDrain::EntryDrain(asio::io_context& loop, base::MonotonicTime signalled_at,
                       base::Duration grace, relay::Relay& relay, Listeners listeners,
                       std::function<void()> done)
    : grace_(grace),
      relay_(relay),
      listeners_(listeners),
      done_(std::move(done)),
      signalled_at_(signalled_at),
      started_at_(base::MonotonicNow()),
      unsent_timer_(loop),
      grace_timer_(loop),
      last_answers_timer_(loop) {
  const auto delay = started_at_ - signalled_at_;
  logging::Write(Level::kInfo, "drain_started", "no new callers are directed to this entry",
                 {{"running", std::to_string(relay_.running())},
                  {"delay_ms", std::to_string(delay.count() / 1'000)}});
  relay_.StartDraining(signalled_at_, grace_);
  ScheduleRefusalOfUnsent();
  exit_at_ = started_at_ + grace_ - EndMargin(kExitMargin, grace_);
  grace_timer_.expires_after(grace_ - EndMargin(kExitMargin + kLastAnswersTime, grace_));
  grace_timer_.async_wait([this](asio::error_code error) {
    if (!error) EndRequests();
  });
}

void EntryDrain::ScheduleRefusalOfUnsent() {
  // The relay starts no attempt after this time.
  const auto refuse_at = signalled_at_ + grace_ - relay::kDrainEndMargin;
  unsent_timer_.expires_after(refuse_at - base::MonotonicNow());
  unsent_timer_.async_wait([this](asio::error_code error) {
    if (!error) ended_requests_ += relay_.RefuseUnsentRequests();
  });
}

void EntryDrain::EndRequests() {
  StopAccepting("the grace time has passed");
  ended_requests_ += relay_.EndRequests();
}

void EntryDrain::StopAccepting(const std::string& cause) {
  if (stopped_accepting_at_) return;
  stopped_accepting_at_ = base::MonotonicNow();
  cause_ = cause;
  listeners_.readiness.StopAccepting();
  listeners_.callers.StopAccepting();
  ScheduleLastAnswersCheck();
}

void EntryDrain::ScheduleLastAnswersCheck() {
  last_answers_timer_.expires_after(kLastAnswersCheck);
  last_answers_timer_.async_wait([this](asio::error_code error) {
    if (!error) AwaitLastAnswers();
  });
}

void EntryDrain::AwaitLastAnswers() {
  const auto now = base::MonotonicNow();
  if (now >= exit_at_) return End();
  const auto last_request = std::max(*stopped_accepting_at_, listeners_.callers.last_request_at());
  if (now - last_request > kLastRequestsTime) {
    listeners_.callers.CloseIdle();
    if (listeners_.callers.busy_count() == 0) return End();
  }
  ScheduleLastAnswersCheck();
}

void EntryDrain::Check(base::MonotonicTime now) {
  const auto serve_for = std::min(kServeWhileDraining, base::Scale(grace_, kServeFraction));
  const auto killed_at = signalled_at_ + grace_;
  const auto serve_until = std::min(started_at_ + serve_for,
                                    killed_at - EndMargin(kExitMargin + kLastAnswersTime, grace_));
  if (stopped_accepting_at_ || now < serve_until) return;
  auto& callers = listeners_.callers;
  callers.CloseIdle();
  // Waits for connections that were just accepted and for answers that are still being written.
  const auto last_sign = std::max(callers.last_accepted(), callers.last_request_at());
  const bool quiet =
      relay_.running() == 0 && callers.busy_count() == 0 && now - last_sign > kQuietTimeBeforeExit;
  if (quiet) StopAccepting("no request is left");
}

void EntryDrain::End() {
  const auto done = std::exchange(done_, nullptr);
  if (!done) return;
  logging::Write(Level::kInfo, "drain_ended", cause_,
                 {{"running", std::to_string(relay_.running())},
                  {"ended_requests", std::to_string(ended_requests_)}});
  done();
}

}  // namespace wagtailpick::node
