#include "relay/request_run.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "base/endpoint.h"
#include "base/hash_fraction.h"
#include "net/http_text.h"
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
/// Oldest idle connection that a non-idempotent request uses. An upstream may close an idle
/// connection at any time, and a request that is lost with it cannot be sent again.
constexpr Duration kMaxIdleNonIdempotent = std::chrono::milliseconds(1'500);
/// A hedge is sent when the first attempt takes this many times as long as expected.
constexpr int kHedgeFactor = 3;
/// Retry-After is the caller's remaining time divided by `kRetryAfterDivisor`. Where the upstreams'
/// back-off sets it, it is at most the remaining time divided by `kMaxRetryAfterDivisor`.
constexpr int kRetryAfterDivisor = 4;
constexpr int kMaxRetryAfterDivisor = 3;
/// Retries of callers that are refused while all upstreams back off are spread over this time.
constexpr Duration kRetryAfterSpread = std::chrono::milliseconds(200);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);

std::string Millis(Duration duration) { return std::to_string(duration.count() / 1'000); }

std::string Tenths(double value) {
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.1f", value);
  return {text.data(), static_cast<std::size_t>(length)};
}

std::string FormatRetryAfter(Duration duration) {
  std::array<char, 32> text{};
  const double seconds = base::ToSeconds(duration);
  const int length = std::snprintf(text.data(), text.size(), "%.2f", seconds);
  return {text.data(), static_cast<std::size_t>(length)};
}

/// Reason, in logs and metrics, of requests that are not sent again as their client may have left.
constexpr std::string_view kClientStreamEndedReason = "client_stream_ended";

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

void RequestRun::Send(const placement::Choice& choice) {
  choice_ = choice;
  if (!MayStartWhileDraining(choice)) {
    // A hedge that is not sent leaves the first attempt running.
    if (attempts_.empty()) RefuseStopping();
    return;
  }
  const auto endpoint = base::ParseEndpoint(choice.address);
  if (!endpoint) {
    // A hedge that cannot be sent leaves the first attempt running.
    if (attempts_.empty()) Refuse("bad_address");
    return;
  }
  const auto now = base::MonotonicNow();
  placement_request_.tried.push_back(choice.upstream);
  const auto attempt_number = relay_.chooser_.RecordAttemptStart(choice, now);
  ++sends_;
  const auto max_idle =
      placement_request_.route->idempotent ? Duration::max() : kMaxIdleNonIdempotent;
  auto attempt = std::make_shared<Attempt>(Attempt{choice, RunOf(choice), IsSuspect(),
                                                   relay_.pool_.Acquire(endpoint.value(), max_idle),
                                                   now, attempt_number});
  attempts_.push_back(attempt);
  if (attempt->suspect) relay_.crash_guard_.AddRunningSuspect(choice.upstream);
  LogSent(choice, now);
  attempt->sent = attempt->connection->usable();
  attempt->connection->may_send = [this, weak = std::weak_ptr(attempt)] {
    const auto connected = weak.lock();
    if (connected == nullptr) return false;
    connected->sent = MaySend(*connected);
    return connected->sent;
  };
  const auto request =
      relay_.dialect_.build_upstream_request(inbound_->request, choice.upstream, deadline_ - now);
  ScheduleHedge(choice);
  // Answers of other kinds are not passed on.
  attempt->connection->wants_body = [self = shared_from_this()](const http::Response& head) {
    const auto kind = self->relay_.dialect_.classify_answer(head, self->attributes_).kind;
    return kind == AnswerKind::kFinal || kind == AnswerKind::kServerFailure;
  };
  const auto& body = inbound_->request.body;
  attempt->connection->Exchange(
      {net::RenderRequestHead(request, body.size()),
       std::shared_ptr<const std::string>(inbound_, &body), request.method == "HEAD"},
      [self = shared_from_this(), attempt](net::ExchangeResult result) {
        self->HandleResult(attempt, std::move(result));
      });
}

bool RequestRun::MaySend(const Attempt& attempt) {
  const auto& choice = attempt.choice;
  const auto started_unix_ms = static_cast<std::int64_t>(attempt.run.incarnation);
  // The upstream may have named a limit while the connection was being opened.
  const bool lacks_token =
      !choice.needs_token && relay_.IsLimited(choice.upstream, started_unix_ms);
  return !lacks_token && MayStartWhileDraining(choice) &&
         relay_.MaySend(choice.upstream, started_unix_ms);
}

void RequestRun::LogSent(const placement::Choice& choice, base::MonotonicTime now) {
  std::vector<logging::Field> fields{{"upstream", choice.upstream},
                                     {"service", placement_request_.service},
                                     {"catalog_version", std::to_string(catalog_->version())},
                                     {"expected_ms", Millis(choice.expected_total)},
                                     {"expected_wait_ms", Millis(choice.expected_wait)},
                                     {"object", std::to_string(placement_request_.object)},
                                     {"warm", choice.warm ? "true" : "false"},
                                     {"load", Tenths(choice.load)},
                                     {"slots", std::to_string(choice.slots)},
                                     {"heard_age_ms", Millis(choice.last_seen_age)},
                                     {"candidates", std::to_string(choice.candidates)},
                                     {"attempt", std::to_string(sends_)},
                                     {"time_left_ms", Millis(deadline_ - now)}};
  const auto started_unix_ms = static_cast<std::int64_t>(RunOf(choice).incarnation);
  for (auto& field : relay_.LimitFields(choice.upstream, started_unix_ms, now)) {
    fields.push_back(std::move(field));
  }
  AddHeldBackFields(choice, fields);
  AddDrainFields(fields);
  Log(Level::kInfo, "request_sent", "to " + choice.address, std::move(fields));
}

// An answer can be lost without a connection error, and an upstream that lost power sends nothing.
// A second upstream is then asked; the first answer of the two is used.
void RequestRun::ScheduleHedge(const placement::Choice& choice) {
  if (!placement_request_.route->idempotent || attempts_.size() > 1) return;
  const auto overdue = std::max(choice.expected_total * kHedgeFactor,
                                choice.expected_total + placement_request_.route->objective);
  // The hedge must leave enough time before the deadline for its own answer.
  const auto latest = placement_request_.time_left - choice.expected_total * 6 / 5;
  const auto delay = std::max(std::min(overdue, latest), choice.expected_total * 3 / 2);
  hedge_timer_.expires_after(delay);
  hedge_timer_.async_wait([self = shared_from_this()](asio::error_code error) {
    if (!error) self->SendHedge();
  });
}

void RequestRun::SendHedge() {
  if (finished_ || attempts_.size() != 1) return;
  if (sends_ >= placement_request_.route->attempts || IsSuspect()) return;
  if (deadline_ - base::MonotonicNow() < placement_request_.route->objective / 2) return;
  if (!relay_.retry_budget_.MayRetry(placement_request_.service, base::MonotonicNow())) return;
  // The first attempt may be answered at any moment, so a token could be requested in vain.
  placement_request_.skip_limited = true;
  const auto choice = Choose();
  placement_request_.skip_limited = false;
  // A hedge that has to queue would delay the first attempt of another request.
  if (choice.refusal != Refusal::kNone || choice.expected_wait > Duration::zero()) return;
  if (!relay_.retry_budget_.TryRetry(placement_request_.service, base::MonotonicNow())) return;
  Send(choice);
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

void RequestRun::HandleAnswer(const Attempt& attempt, http::Response response) {
  const auto classified = relay_.dialect_.classify_answer(response, attributes_);
  ApplyUpstreamStatus(attempt, classified);
  switch (classified.kind) {
    case AnswerKind::kFinal:
      EndAttempt(attempt, Outcome::kServed, "served");
      break;
    case AnswerKind::kServerFailure:
      EndAttempt(attempt, Outcome::kFailed, "server_failure");
      may_have_run_ = true;
      break;
    case AnswerKind::kNotRun:
      EndAttempt(attempt, classified.back_off_for ? Outcome::kBackOff : Outcome::kShed, "not_run");
      break;
    case AnswerKind::kOtherUpstream:
      EndAttempt(attempt, Outcome::kUnreachable, "other_upstream");
      break;
    case AnswerKind::kForeign:
      EndAttempt(attempt, Outcome::kFailed, "foreign_answer");
      may_have_run_ = true;
      break;
  }
  // A duplicate of the answer may follow on the connection. A refusal without a request id would
  // then be taken for the answer to the next request.
  const bool is_own =
      classified.kind == AnswerKind::kFinal || classified.kind == AnswerKind::kServerFailure;
  if (!is_own) attempt.connection->Close();
  if (classified.kind == AnswerKind::kFinal && relay_.crash_guard_.has_suspects()) {
    relay_.crash_guard_.AddSuccess(fingerprint(), attempt.choice.address);
  }
  if (classified.kind == AnswerKind::kFinal) return Finish(std::move(response), "served", "");
  // The other attempt may still be answered.
  if (!attempts_.empty()) return;
  // An upstream that refuses although it has free slots may accept the next attempt, and may be the
  // only one that is warm for the object. So it stays eligible.
  const bool had_free_slots = classified.load && classified.load->running < classified.load->slots;
  if (classified.kind == AnswerKind::kNotRun && had_free_slots) {
    std::erase(placement_request_.tried, attempt.choice.upstream);
  }
  const bool not_run =
      classified.kind == AnswerKind::kNotRun || classified.kind == AnswerKind::kOtherUpstream;
  if (TryAcquireRetry(not_run)) return StartAttempt();
  if (classified.kind == AnswerKind::kServerFailure) {
    return Finish(std::move(response), "failed", "server_failure");
  }
  if (not_run) return Refuse("upstream_refused");
  Fail();
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
  EndAllAttempts("timeout");
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
// stream have left.
bool RequestRun::HandleClientStreamEnded() {
  if (finished_) return false;
  const bool continues = !placement_request_.route->idempotent && MayHaveRun();
  client_stream_ended_ = true;
  Log(Level::kInfo, "client_stream_ended", continues ? "continues" : "ends",
      {{"upstream", choice_.upstream}, {"sends", std::to_string(sends_)}});
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
                                     {"total_ms", Millis(total)},
                                     {"expected_ms", Millis(choice_.expected_total)},
                                     {"heard_age_ms", Millis(choice_.last_seen_age)},
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
