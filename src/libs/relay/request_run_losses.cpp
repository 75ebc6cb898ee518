#include <utility>

#include "relay/request_run.h"

// The part of RequestRun that handles upstream status in answers, lost exchanges and suspects.

namespace wagtailpick::relay {
namespace {

using logging::Level;
using placement::Outcome;

/// Connection failures and withdrawn attempts of one request after which it is refused.
constexpr std::uint32_t kMaxFailedConnects = 3;
/// Characters of an upstream's text that are logged.
constexpr std::size_t kMaxLoggedText = 64;
/// Reason in logs and metrics.
constexpr std::string_view kBlockedReason = "crashes_upstreams";

/// Returns what an exchange without an answer says about its upstream.
Outcome OutcomeOf(net::ExchangeOutcome outcome) {
  switch (outcome) {
    case net::ExchangeOutcome::kBroken:
      return Outcome::kFailed;
    case net::ExchangeOutcome::kNotConnected:
      return Outcome::kUnreachable;
    case net::ExchangeOutcome::kNotSent:
    case net::ExchangeOutcome::kNoMemory:
    case net::ExchangeOutcome::kAnswered:
      break;
  }
  return Outcome::kUnknown;
}

}  // namespace

void RequestRun::ApplyUpstreamStatus(const Attempt& attempt, const ClassifiedAnswer& classified) {
  const auto& upstream = attempt.choice.upstream;
  const bool is_from_run =
      classified.kind != AnswerKind::kForeign && classified.kind != AnswerKind::kOtherUpstream;
  const auto started_unix_ms = static_cast<std::int64_t>(attempt.run.incarnation);
  if (is_from_run) {
    relay_.crash_guard_.HandleAnswer(attempt.run, attempt.sent_at);
    relay_.HandleLimit(upstream, started_unix_ms, classified, attempt.sent_at,
                       attributes_.request_id);
  }
  if (classified.load) relay_.chooser_.RecordLoad(upstream, *classified.load, base::MonotonicNow());
  if (classified.leaving) {
    relay_.HandleLeaving(upstream, started_unix_ms, attributes_.request_id);
  }
  if (classified.back_off_for) {
    relay_.HandleBackOff(attempt.choice, *classified.back_off_for, attributes_.request_id);
  }
  LogUnreadable("pause_unreadable", classified.invalid_back_off, upstream);
  LogUnreadable("limit_unreadable", classified.invalid_limit, upstream);
}

void RequestRun::LogUnreadable(const std::string& event, const std::optional<std::string>& text,
                               const std::string& upstream) {
  if (!text) return;
  Log(Level::kWarning, event, text->substr(0, kMaxLoggedText), {{"upstream", upstream}});
}

void RequestRun::HandleLoss(const Attempt& attempt, const net::ExchangeResult& result) {
  EndAttempt(attempt, OutcomeOf(result.outcome), net::ToString(result.outcome));
  Log(Level::kWarning, "exchange_lost", result.detail,
      {{"upstream", attempt.choice.upstream},
       {"end", std::string(net::ToString(result.outcome))},
       {"reused", result.reused ? "true" : "false"},
       {"answer_started", result.answer_started ? "true" : "false"}});
  if (result.outcome == net::ExchangeOutcome::kBroken) {
    may_have_run_ = true;
    return ExamineLoss(attempt);
  }
  // The answer of another attempt would not fit either.
  if (result.outcome == net::ExchangeOutcome::kNoMemory) {
    may_have_run_ = true;
    return attempts_.empty() ? Fail(kNoMemoryReason) : void();
  }
  --sends_;
  if (result.outcome == net::ExchangeOutcome::kNotSent && result.reused) {
    // Not counted, as the attempt on a new connection counts if it fails, too.
    UseNewConnection(attempt);
  } else if (attempts_.empty()) {
    ++failed_connects_;
  }
  if (!attempts_.empty()) return;
  if (failed_connects_ < kMaxFailedConnects && HasTimeForAttempt()) return StartAttempt();
  Refuse("upstreams_unreachable");
}

// An upstream may close idle connections at any time, so the loss says nothing about the upstream.
// Its other idle connections may be lost as well.
void RequestRun::UseNewConnection(const Attempt& attempt) {
  std::erase(placement_request_.tried, attempt.choice.upstream);
  relay_.DropUpstreamState(attempt.choice.upstream, attempt.choice.address, false);
}

// If one more crash would block the request, it is not sent again until the probe has shown whether
// the upstream crashed.
void RequestRun::ExamineLoss(const Attempt& attempt) {
  auto& guard = relay_.crash_guard_;
  const bool may_retry =
      placement_request_.route->idempotent && sends_ < placement_request_.route->attempts;
  const bool waits = may_retry && guard.IsOneCrashFromBlock(fingerprint());
  guard.ExamineLoss({attributes_.request_id, fingerprint(), attempt.choice.upstream, attempt.run},
                    [waits, self = shared_from_this()] {
                      if (waits) self->RetryAfterLoss();
                    });
  if (!waits) RetryAfterLoss();
}

void RequestRun::RetryAfterLoss() {
  if (finished_ || !attempts_.empty()) return;
  if (IsBlocked()) return FinishBlocked();
  if (TryAcquireRetry(false)) return StartAttempt();
  Fail();
}

bool RequestRun::IsBlocked() {
  return relay_.crash_guard_.has_suspects() && relay_.crash_guard_.IsBlocked(fingerprint());
}

bool RequestRun::IsSuspect() {
  return relay_.crash_guard_.has_suspects() && relay_.crash_guard_.IsSuspect(fingerprint());
}

void RequestRun::FinishBlocked() {
  if (may_have_run_) return Fail(kBlockedReason);
  Refuse(kBlockedReason);
}

// The service is left out, as a route may send the same request to several services.
const safety::Fingerprint& RequestRun::fingerprint() {
  if (!fingerprint_) {
    const auto& request = inbound_->request;
    fingerprint_ =
        safety::FingerprintOf(attributes_.host, request.method, request.target, request.body);
  }
  return *fingerprint_;
}

safety::UpstreamRun RequestRun::RunOf(const placement::Choice& choice) const {
  const auto* known = relay_.routing_state_.upstreams.Find(choice.upstream);
  const auto started = known == nullptr ? 0 : known->report.started_unix_ms;
  return {choice.address, static_cast<std::uint64_t>(started)};
}

}  // namespace wagtailpick::relay
