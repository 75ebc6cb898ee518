#include "relay/request_run.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "base/hash_fraction.h"
#include "placement/object_tracker.h"

namespace wagtailpick::relay {
namespace {

using base::Duration;
using logging::Level;
using placement::Outcome;
using placement::Refusal;

/// Upper bound of the wait when the caller sets no deadline. The route's timeout applies as well.
constexpr Duration kDefaultTimeout = std::chrono::seconds(600);
/// With less time left than this, no further attempt is made.
constexpr Duration kMinTimeForAttempt = std::chrono::milliseconds(60);
/// Retry-After is the caller's remaining time divided by `kRetryAfterDivisor`. Where the upstreams'
/// back-off sets it, it is at most the remaining time divided by `kMaxRetryAfterDivisor`.
constexpr int kRetryAfterDivisor = 4;
constexpr int kMaxRetryAfterDivisor = 3;
/// Retries of callers that are refused while all upstreams back off are spread over this time.
constexpr Duration kRetryAfterSpread = std::chrono::milliseconds(200);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);

std::string FormatRetryAfter(Duration duration) {
  std::array<char, 32> text{};
  const double seconds = base::ToSeconds(duration);
  const int length = std::snprintf(text.data(), text.size(), "%.2f", seconds);
  return {text.data(), static_cast<std::size_t>(length)};
}

/// Reason, in logs and metrics, of requests that are not sent again as their client may have left.
constexpr std::string_view kClientStreamEndedReason = "client_stream_ended";
/// Reason, in logs and metrics, of requests that no upstream can have run by their deadline.
constexpr std::string_view kUnsentAtDeadlineReason = "unsent_at_deadline";

http::Response Plain(int status) {
  http::Response response;
  response.status = status;
  return response;
}

}  // namespace

RequestRun::RequestRun(Relay& relay, std::shared_ptr<net::InboundRequest> inbound)
    : relay_(relay),
      runs_(relay.runs_),
      inbound_(std::move(inbound)),
      catalog_(relay.routing_state_.catalog),
      timer_(relay.loop_),
      hedge_timer_(relay.loop_) {
  runs_->insert(this);
}

RequestRun::~RequestRun() { runs_->erase(this); }

void RequestRun::Start() {
  auto attributes = relay_.dialect_.parse_request(inbound_->request);
  if (!attributes) {
    Log(Level::kWarning, "request_unreadable", attributes.error().message, {});
    return Finish(Plain(400), "rejected", "bad_request");
  }
  attributes_ = std::move(attributes.value());
  if (catalog_ == nullptr) return Refuse("no_catalog");
  if (!FindRoute()) return Finish(Plain(404), "rejected", "no_route");
  const auto& route = *placement_request_.route;
  deadline_ = inbound_->received_at +
              std::min(route.timeout, attributes_.deadline.value_or(kDefaultTimeout));
  placement_request_.object = placement::RouteObjectHash(attributes_.object, route.name);
  relay_.chooser_.RecordRequest(placement_request_, inbound_->received_at);
  relay_.retry_budget_.RecordRequest(placement_request_.service, inbound_->received_at);
  inbound_->continues_after_half_close = [self = shared_from_this()] {
    return self->HandleClientStreamEnded();
  };
  inbound_->on_client_left = [self = shared_from_this()] { self->HandleClientLeft(); };
  timer_.expires_after(deadline_ - base::MonotonicNow());
  timer_.async_wait([self = shared_from_this()](asio::error_code error) {
    if (!error) self->HandleTimeout();
  });
  StartAttempt();
}

bool RequestRun::FindRoute() {
  const auto* route = catalog_->Match(attributes_.host, inbound_->request.target);
  if (route == nullptr) return false;
  placement_request_.route = route;
  placement_request_.service = relay_.splits_.Pick(*route);
  return true;
}

placement::Choice RequestRun::Choose() {
  const auto now = base::MonotonicNow();
  placement_request_.time_left = deadline_ - now;
  placement_request_.waited = now - inbound_->received_at;
  const placement::RoutingView routing_state{&relay_.routing_state_.upstreams, catalog_.get(),
                                             &relay_.routing_state_.evacuated,
                                             &relay_.routing_state_.shared, &relay_.limits_};
  if (!IsSuspect()) return relay_.chooser_.Choose(placement_request_, routing_state, now);
  // A suspect gets an upstream without another suspect if there is one. When an upstream that runs
  // two suspects crashes, the cause is unknown.
  auto separate = placement_request_;
  const auto& occupied = relay_.crash_guard_.upstreams_running_suspects();
  separate.tried.insert(separate.tried.end(), occupied.begin(), occupied.end());
  auto choice = relay_.chooser_.Choose(separate, routing_state, now);
  if (choice.refusal == Refusal::kNone) return choice;
  return relay_.chooser_.Choose(placement_request_, routing_state, now);
}

void RequestRun::StartAttempt() {
  if (IsBlocked()) return FinishBlocked();
  if (client_stream_ended_) return Refuse(kClientStreamEndedReason);
  const auto choice = Choose();
  if (choice.refusal != Refusal::kNone) {
    choice_ = choice;
    return Refuse(placement::ToString(choice.refusal), RetryAfterFor(choice));
  }
  if (!choice.needs_token) return Send(choice);
  // Otherwise the request would wait for a token that it cannot use.
  if (MayStartWhileDraining(choice)) return RequestToken(choice);
  choice_ = choice;
  RefuseStopping();
}

void RequestRun::HandleResult(const std::shared_ptr<Attempt>& attempt, net::ExchangeResult result) {
  if (finished_) return;
  std::erase(attempts_, attempt);
  hedge_timer_.cancel();
  if (result.connect_time > Duration::zero()) {
    relay_.chooser_.RecordConnectTime(attempt->choice.data_centre, result.connect_time);
  }
  if (result.outcome == net::ExchangeOutcome::kAnswered) {
    return HandleAnswer(*attempt, std::move(result.response));
  }
  HandleLoss(*attempt, result);
}

void RequestRun::EndAttempt(const Attempt& attempt, Outcome outcome, std::string_view result) {
  const auto now = base::MonotonicNow();
  relay_.chooser_.RecordAttemptEnd(attempt.attempt_number, attempt.choice, placement_request_,
                                   outcome, now - attempt.sent_at, now);
  if (attempt.suspect) relay_.crash_guard_.RemoveRunningSuspect(attempt.choice.upstream);
  relay_.metrics_.RecordExchange(result, now - attempt.sent_at);
}

// Upstreams cancel a request when its connection closes.
void RequestRun::EndAllAttempts(std::string_view result) {
  for (const auto& attempt : std::exchange(attempts_, {})) {
    attempt->connection->Close();
    EndAttempt(*attempt, Outcome::kUnknown, result);
  }
}

bool RequestRun::TryAcquireRetry(bool known_not_run) {
  const auto now = base::MonotonicNow();
  if (!placement_request_.route->idempotent && (may_have_run_ || !known_not_run)) return false;
  if (client_stream_ended_ || sends_ >= placement_request_.route->attempts) return false;
  if (!HasTimeForAttempt()) return false;
  return relay_.retry_budget_.TryRetry(placement_request_.service, now);
}

bool RequestRun::HasTimeForAttempt() const {
  return deadline_ - base::MonotonicNow() >= kMinTimeForAttempt;
}

void RequestRun::Fail(std::string_view reason) { Finish(Plain(502), "failed", reason); }

void RequestRun::HandleTimeout() {
  if (finished_) return;
  const bool may_have_run = MayHaveRun();
  EndAllAttempts("timeout");
  if (!may_have_run) return Refuse(kUnsentAtDeadlineReason);
  Finish(Plain(504), "failed", "timeout");
}

void RequestRun::HandleClientLeft() {
  if (finished_) return;
  finished_ = true;
  timer_.cancel();
  hedge_timer_.cancel();
  EndAllAttempts("client_left");
  relay_.metrics_.RecordAnswer("client_left", base::MonotonicNow() - inbound_->received_at);
  Log(Level::kInfo, "client_left", "the caller closed its connection", {});
}

// A request that cannot be sent again and may have run is worth its upstream's time: its caller may
// wait for the answer, and cannot ask for it again. Others end, as most clients that end their
// stream have left. One that has not run is refused: a client that waits may send it again, and for
// one that has left the answer costs nothing.
bool RequestRun::HandleClientStreamEnded() {
  if (finished_) return false;
  const bool may_have_run = MayHaveRun();
  const bool continues = !placement_request_.route->idempotent && may_have_run;
  client_stream_ended_ = true;
  Log(Level::kInfo, "client_stream_ended", continues ? "continues" : "ends",
      {{"upstream", choice_.upstream}, {"sends", std::to_string(sends_)}});
  if (!may_have_run) {
    EndAllAttempts("not_sent");
    Refuse(kClientStreamEndedReason);
  }
  return continues;
}

// Callers retry when the first back-off ends or the first token may be issued: urgent requests
// first, the others after them, each group spread over `kRetryAfterSpread`.
std::optional<base::Duration> RequestRun::RetryAfterFor(const placement::Choice& choice) const {
  const bool has_time =
      choice.refusal == Refusal::kBackingOff || choice.refusal == Refusal::kRateLimited;
  if (!has_time) return std::nullopt;
  const auto spread = base::Scale(kRetryAfterSpread, base::HashFraction(attributes_.request_id));
  const bool urgent = placement_request_.route->is_urgent();
  return choice.retry_after + (urgent ? spread : kRetryAfterSpread + spread);
}

// Retry-After is chosen so that the caller still has time for an answer after its retry.
void RequestRun::Refuse(std::string_view reason, std::optional<base::Duration> retry_after) {
  if (may_have_run_ || !attempts_.empty()) return Fail();
  auto response = Plain(503);
  const auto time_left = attributes_.deadline.value_or(std::chrono::seconds(3)) -
                         (base::MonotonicNow() - inbound_->received_at);
  const auto usual = std::clamp(time_left / kRetryAfterDivisor, kMinRetryAfter, kMaxRetryAfter);
  const auto latest = std::max(time_left / kMaxRetryAfterDivisor, kMinRetryAfter);
  const auto after = retry_after ? std::clamp(*retry_after, kMinRetryAfter, latest) : usual;
  response.headers.push_back({"Retry-After", FormatRetryAfter(after)});
  Finish(std::move(response), "refused", reason);
}

void RequestRun::Finish(http::Response response, std::string_view outcome,
                        std::string_view reason) {
  if (finished_) return;
  finished_ = true;
  timer_.cancel();
  hedge_timer_.cancel();
  EndAllAttempts("overtaken");
  const auto total = base::MonotonicNow() - inbound_->received_at;
  relay_.metrics_.RecordAnswer(reason.empty() ? outcome : reason, total);
  std::vector<logging::Field> fields{{"reason", std::string(reason)},
                                     {"status", std::to_string(response.status)},
                                     {"upstream", choice_.upstream},
                                     {"sends", std::to_string(sends_)},
                                     {"total_ms", FormatMillis(total)},
                                     {"expected_ms", FormatMillis(choice_.expected_total)},
                                     {"heard_age_ms", FormatMillis(choice_.last_seen_age)},
                                     {"candidates", std::to_string(choice_.candidates)}};
  if (choice_.refusal != Refusal::kNone) AddHeldBackFields(choice_, fields);
  AddDrainFields(fields);
  Log(outcome == "served" ? Level::kInfo : Level::kWarning, "request_ended", std::string(outcome),
      std::move(fields));
  inbound_->Answer(std::move(response));
}

void RequestRun::Log(Level level, const std::string& event, const std::string& message,
                     std::vector<logging::Field> fields) {
  fields.push_back({"request_id", attributes_.request_id});
  fields.push_back(
      {"route", placement_request_.route == nullptr ? "" : placement_request_.route->name});
  relay_.log_.Write(level, event, message, std::move(fields), base::MonotonicNow());
}

}  // namespace wagtailpick::relay
