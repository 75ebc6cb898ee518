#include <utility>

#include "relay/request_run.h"

// The part of RequestRun that requests tokens for upstreams with a rate limit.

namespace wagtailpick::relay {
namespace {

using logging::Level;

/// Upstreams whose token one request asks for. Each answer costs a round trip to a replica.
constexpr int kMaxTokenRequests = 2;
/// With less time left than this, no token is requested.
constexpr base::Duration kMinTimeForToken = std::chrono::milliseconds(400);
/// An upstream whose token request was not answered gets no requests for this time. By then, a
/// silent replica has been replaced by another one.
constexpr base::Duration kUnansweredDelay = std::chrono::milliseconds(500);

}  // namespace

void RequestRun::RequestToken(const placement::Choice& choice) {
  const auto now = base::MonotonicNow();
  const auto run = RunOf(choice);
  const auto* limit =
      relay_.limits_.FindBinding(choice.upstream, static_cast<std::int64_t>(run.incarnation), now);
  if (limit == nullptr) return Send(choice);
  const bool has_time = deadline_ - now >= kMinTimeForToken;
  if (!has_time || token_requests_ >= kMaxTokenRequests) {
    placement_request_.skip_limited = true;
    return StartAttempt();
  }
  ++token_requests_;
  const auto report = limits::LimitTable::MakeReport(choice.upstream, *limit, now);
  relay_.token_requests_.Request(
      report, placement_request_.route->is_urgent(),
      [self = shared_from_this(), choice, run](TokenOutcome outcome, base::Duration retry_in) {
        self->HandleToken(choice, run, outcome, retry_in);
      });
}

void RequestRun::HandleToken(const placement::Choice& choice, const safety::UpstreamRun& run,
                             TokenOutcome outcome, base::Duration retry_in) {
  if (finished_) return;
  const auto now = base::MonotonicNow();
  const auto started_unix_ms = static_cast<std::int64_t>(run.incarnation);
  bool granted = outcome == TokenOutcome::kGranted;
  std::string_view source = ToString(outcome);
  const auto* limit = relay_.limits_.FindBinding(choice.upstream, started_unix_ms, now);
  if (outcome == TokenOutcome::kNoReplica && limit != nullptr) {
    const auto share = relay_.limits_.TakeShare(choice.upstream, *limit, now);
    granted = share.granted;
    retry_in = share.retry_in;
    if (granted) source = "own_share";
  }
  relay_.metrics_.CountToken(source);
  // The upstream may have left or asked for a back-off meanwhile. The token is then lost.
  if (granted && relay_.MaySend(choice.upstream, started_unix_ms)) return Send(choice);
  if (!granted) {
    const auto delay = outcome == TokenOutcome::kUnanswered ? kUnansweredDelay : retry_in;
    relay_.limits_.HoldBack(choice.upstream, placement_request_.route->is_urgent(), now + delay);
    LogHeldBack(choice, started_unix_ms, source, delay);
  }
  StartAttempt();
}

void RequestRun::AddHeldBackFields(const placement::Choice& choice,
                                   std::vector<logging::Field>& fields) {
  if (!choice.held_back_by) return;
  const auto& by = *choice.held_back_by;
  fields.push_back({"held_back_by", by.upstream});
  fields.push_back({"held_back_limit_per_s", FormatLimit(by.requests_per_second)});
  fields.push_back({"held_back_limit_age_ms", FormatMillis(by.age)});
}

void RequestRun::LogHeldBack(const placement::Choice& choice, std::int64_t started_unix_ms,
                             std::string_view token, base::Duration delay) {
  std::vector<logging::Field> fields{{"upstream", choice.upstream},
                                     {"token", std::string(token)},
                                     {"retry_in_ms", FormatMillis(delay)}};
  const auto now = base::MonotonicNow();
  for (auto& field : relay_.LimitFields(choice.upstream, started_unix_ms, now)) {
    fields.push_back(std::move(field));
  }
  Log(Level::kInfo, "held_back_by_limit", choice.upstream, std::move(fields));
}

}  // namespace wagtailpick::relay
