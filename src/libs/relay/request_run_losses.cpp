#include <utility>

#include "relay/request_run.h"

// What a request tells of its upstreams: what they say of themselves, and that they were lost.

namespace wagtailpick::relay {
namespace {

using logging::Level;
using placement::Outcome;

constexpr std::uint32_t kMaxFailedConnects = 3;
/// Of text that an upstream sent.
constexpr std::size_t kMaxLoggedText = 64;
constexpr std::string_view kCrashesUpstreams = "crashes_upstreams";

}  // namespace

void RequestRun::NoteUpstream(const Leg& leg, const ClassifiedAnswer& judged) {
  const auto& upstream = leg.choice.upstream;
  const bool from_run =
      judged.kind != AnswerKind::kForeign && judged.kind != AnswerKind::kOtherUpstream;
  if (from_run) relay_.crash_guard_.HandleAnswer(leg.run, leg.sent_at);
  if (judged.load) relay_.chooser_.RecordLoad(upstream, *judged.load, base::MonotonicNow());
  if (judged.leaving) {
    relay_.NoteLeaving(upstream, static_cast<std::int64_t>(leg.run.incarnation), terms_.request_id);
  }
  if (judged.back_off_for) {
    relay_.NoteUnwanted(leg.choice, *judged.back_off_for, terms_.request_id);
  }
  if (!judged.has_invalid_back_off) return;
  Log(Level::kWarning, "pause_unreadable", judged.invalid_back_off.substr(0, kMaxLoggedText),
      {{"upstream", upstream}});
}

void RequestRun::TakeLoss(const Leg& leg, const net::ExchangeResult& result) {
  const bool connected = result.end != net::ExchangeEnd::kNotConnected;
  EndExchange(leg, connected ? Outcome::kFailed : Outcome::kUnreachable, net::ToString(result.end));
  Log(Level::kWarning, "exchange_lost", result.detail,
      {{"upstream", leg.choice.upstream},
       {"end", std::string(net::ToString(result.end))},
       {"reused", result.reused ? "true" : "false"},
       {"answer_started", result.answer_started ? "true" : "false"}});
  if (connected) {
    may_have_run_ = true;
    return ExamineLoss(leg);
  }
  --sends_;
  if (!legs_.empty()) return;
  if (++failed_connects_ < kMaxFailedConnects && HasTimeToTry()) return Try();
  if (may_have_run_) return GiveUp();
  Refuse("upstreams_unreachable");
}

// Where one more end would block the request, it isn't sent again before the verdict.
void RequestRun::ExamineLoss(const Leg& leg) {
  auto& crashes = relay_.crash_guard_;
  const bool may_go_on = demand_.route->idempotent && sends_ < demand_.route->attempts;
  const bool waits = may_go_on && crashes.IsOneCrashFromBlock(fingerprint());
  crashes.ExamineLoss({terms_.request_id, fingerprint(), leg.choice.upstream, leg.run},
                      [waits, self = shared_from_this()] {
                        if (waits) self->TryAfterLoss();
                      });
  if (!waits) TryAfterLoss();
}

void RequestRun::TryAfterLoss() {
  if (finished_ || !legs_.empty()) return;
  if (IsBlocked()) return StopForCrashes();
  if (MayTryAgain(false)) return Try();
  GiveUp();
}

bool RequestRun::IsBlocked() {
  return relay_.crash_guard_.has_suspects() && relay_.crash_guard_.IsBlocked(fingerprint());
}

bool RequestRun::IsSuspect() {
  return relay_.crash_guard_.has_suspects() && relay_.crash_guard_.IsSuspect(fingerprint());
}

void RequestRun::StopForCrashes() {
  if (may_have_run_) return GiveUp(kCrashesUpstreams);
  Refuse(kCrashesUpstreams);
}

// Without the service, as a route may send the same request to several.
const safety::Fingerprint& RequestRun::fingerprint() {
  if (!fingerprint_) {
    const auto& request = inbound_->request;
    fingerprint_ = safety::FingerprintOf(terms_.host, request.method, request.target, request.body);
  }
  return *fingerprint_;
}

safety::UpstreamRun RequestRun::RunOf(const placement::Choice& choice) const {
  const auto* known = relay_.routing_state_.upstreams.Find(choice.upstream);
  const auto started = known == nullptr ? 0 : known->report.started_unix_ms;
  return {choice.address, static_cast<std::uint64_t>(started)};
}

}  // namespace wagtailpick::relay
