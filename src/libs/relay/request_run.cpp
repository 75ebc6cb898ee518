#include "relay/request_run.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "base/endpoint.h"
#include "net/http_text.h"
#include "placement/object_tracker.h"

namespace wagtailpick::relay {
namespace {

using base::Duration;
using logging::Level;
using placement::Outcome;
using placement::Refusal;

/// Used when neither the caller nor its route sets a time.
constexpr Duration kLongestWait = std::chrono::seconds(600);
/// Less time than this isn't worth another try.
constexpr Duration kLeastTimeToTry = std::chrono::milliseconds(60);
/// An upstream may close an idle connection at any time; a request that must not run twice then has
/// no answer, so it takes only connections that were just used.
constexpr Duration kMaxIdleOnce = std::chrono::milliseconds(1'500);
/// A second sending starts when the first takes this many times as long as expected.
constexpr int kHedgeFactor = 3;
/// Callers come back within a third of the time that they have left.
constexpr int kReturnShare = 4;
constexpr int kLongestReturnShare = 3;
/// Callers that are refused because no upstream wants work come back over this span.
constexpr Duration kReturnSpread = std::chrono::milliseconds(200);
constexpr std::int64_t kSpreadSteps = 1'000;
constexpr Duration kSoonestReturn = std::chrono::milliseconds(100);
constexpr Duration kLatestReturn = std::chrono::seconds(2);

std::string Millis(Duration duration) { return std::to_string(duration.count() / 1'000); }

std::string Tenths(double value) {
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.1f", value);
  return {text.data(), static_cast<std::size_t>(length)};
}

std::string RetryAfter(Duration duration) {
  std::array<char, 32> text{};
  const double seconds = std::chrono::duration<double>(duration).count();
  const int length = std::snprintf(text.data(), text.size(), "%.2f", seconds);
  return {text.data(), static_cast<std::size_t>(length)};
}

http::Response Plain(int status) {
  http::Response response;
  response.status = status;
  return response;
}

}  // namespace

RequestRun::RequestRun(Relay& relay, std::shared_ptr<net::InboundRequest> inbound)
    : relay_(relay),
      inbound_(std::move(inbound)),
      catalog_(relay.routing_state_.catalog),
      timer_(relay.loop_),
      hedge_timer_(relay.loop_) {
  ++relay_.running_;
}

RequestRun::~RequestRun() { --relay_.running_; }

void RequestRun::Start() {
  auto terms = relay_.dialect_.parse_request(inbound_->request);
  if (!terms) {
    return Finish(Plain(400), "rejected", terms.error().message);
  }
  terms_ = std::move(terms.value());
  if (catalog_ == nullptr) return Refuse("no_catalog");
  if (relay_.refusing_) return Refuse("stopping");
  if (!FindRoute()) return Finish(Plain(404), "rejected", "no_route");
  const auto& route = *demand_.route;
  deadline_ =
      inbound_->received_at + std::min(route.timeout, terms_.deadline.value_or(kLongestWait));
  demand_.object = placement::RouteObjectHash(terms_.object, route.name);
  relay_.chooser_.RecordRequest(demand_, inbound_->received_at);
  relay_.allowance_.RecordRequest(demand_.service, inbound_->received_at);
  inbound_->on_client_left = [self = shared_from_this()] { self->ClientLeft(); };
  timer_.expires_after(deadline_ - base::MonotonicNow());
  timer_.async_wait([self = shared_from_this()](asio::error_code error) {
    if (!error) self->Expire();
  });
  Try();
}

bool RequestRun::FindRoute() {
  const auto* route = catalog_->Match(terms_.host, inbound_->request.target);
  if (route == nullptr) return false;
  demand_.route = route;
  demand_.service = relay_.splits_.Pick(*route);
  return true;
}

placement::Choice RequestRun::Choose() {
  const auto now = base::MonotonicNow();
  demand_.time_left = deadline_ - now;
  demand_.waited = now - inbound_->received_at;
  const placement::RoutingView beliefs{&relay_.routing_state_.upstreams, catalog_.get(),
                                       &relay_.routing_state_.evacuated,
                                       &relay_.routing_state_.shared};
  if (!IsSuspect()) return relay_.chooser_.Choose(demand_, beliefs, now);
  // Alone on its upstream, where there is another one: an end under two suspects says nothing of
  // which of them caused it.
  auto apart = demand_;
  const auto& carrying = relay_.crash_guard_.upstreams_running_suspects();
  apart.tried.insert(apart.tried.end(), carrying.begin(), carrying.end());
  auto choice = relay_.chooser_.Choose(apart, beliefs, now);
  if (choice.refusal == Refusal::kNone) return choice;
  return relay_.chooser_.Choose(demand_, beliefs, now);
}

void RequestRun::Try() {
  if (IsBlocked()) return StopForCrashes();
  const auto choice = Choose();
  if (choice.refusal != Refusal::kNone) {
    choice_ = choice;
    if (may_have_run_) return GiveUp();
    return Refuse(placement::ToString(choice.refusal), ReturnAfter(choice));
  }
  Send(choice);
}

void RequestRun::Send(const placement::Choice& choice) {
  choice_ = choice;
  const auto endpoint = base::ParseEndpoint(choice.address);
  if (!endpoint) return Refuse("bad_address");
  const auto now = base::MonotonicNow();
  demand_.tried.push_back(choice.upstream);
  const auto sending = relay_.chooser_.RecordAttemptStart(choice, now);
  ++sends_;
  const auto max_idle = demand_.route->idempotent ? Duration::max() : kMaxIdleOnce;
  auto leg =
      std::make_shared<Leg>(Leg{choice, RunOf(choice), IsSuspect(),
                                relay_.pool_.Take(endpoint.value(), max_idle), now, sending});
  legs_.push_back(leg);
  if (leg->suspect) relay_.crash_guard_.AddRunningSuspect(choice.upstream);
  LogSent(choice, now);
  leg->connection->may_send = [this, id = choice.upstream, run = leg->run] {
    return relay_.MaySend(id, static_cast<std::int64_t>(run.incarnation));
  };
  const auto request =
      relay_.dialect_.build_upstream_request(inbound_->request, choice.upstream, deadline_ - now);
  WaitForHedge(choice);
  leg->connection->Exchange(net::RenderRequest(request), request.method == "HEAD",
                            [self = shared_from_this(), leg](net::ExchangeResult result) {
                              self->TakeResult(leg, std::move(result));
                            });
}

void RequestRun::LogSent(const placement::Choice& choice, base::MonotonicTime now) {
  Log(Level::kInfo, "request_sent", "to " + choice.address,
      {{"upstream", choice.upstream},
       {"service", demand_.service},
       {"catalog_version", std::to_string(catalog_->version())},
       {"expected_ms", Millis(choice.expected_total)},
       {"expected_wait_ms", Millis(choice.expected_wait)},
       {"object", std::to_string(demand_.object)},
       {"warm", choice.warm ? "true" : "false"},
       {"load", Tenths(choice.load)},
       {"slots", std::to_string(choice.slots)},
       {"heard_age_ms", Millis(choice.last_seen_age)},
       {"candidates", std::to_string(choice.candidates)},
       {"attempt", std::to_string(sends_)},
       {"time_left_ms", Millis(deadline_ - now)}});
}

// Some answers are lost without a sign, and an upstream without power says nothing. A second
// upstream answers then, while the first one may still be the sooner.
void RequestRun::WaitForHedge(const placement::Choice& choice) {
  if (!demand_.route->idempotent || legs_.size() > 1) return;
  const auto suspicious = std::max(choice.expected_total * kHedgeFactor,
                                   choice.expected_total + demand_.route->objective);
  // Late enough to be unlikely needed, but with time for the second answer.
  const auto latest = demand_.time_left - choice.expected_total * 6 / 5;
  const auto patience = std::max(std::min(suspicious, latest), choice.expected_total * 3 / 2);
  hedge_timer_.expires_after(patience);
  hedge_timer_.async_wait([self = shared_from_this()](asio::error_code error) {
    if (!error) self->Hedge();
  });
}

void RequestRun::Hedge() {
  if (finished_ || legs_.size() != 1) return;
  if (sends_ >= demand_.route->attempts || IsSuspect()) return;
  if (deadline_ - base::MonotonicNow() < demand_.route->objective / 2) return;
  if (!relay_.allowance_.MayRetry(demand_.service, base::MonotonicNow())) return;
  const auto choice = Choose();
  // A second sending that has to queue would take the place of a first one.
  if (choice.refusal != Refusal::kNone || choice.expected_wait > Duration::zero()) return;
  if (!relay_.allowance_.TryRetry(demand_.service, base::MonotonicNow())) return;
  Send(choice);
}

void RequestRun::TakeResult(const std::shared_ptr<Leg>& leg, net::ExchangeResult result) {
  if (finished_) return;
  std::erase(legs_, leg);
  hedge_timer_.cancel();
  if (result.connect_time > Duration::zero()) {
    relay_.chooser_.RecordConnectTime(leg->choice.data_centre, result.connect_time);
  }
  if (result.end == net::ExchangeEnd::kAnswered) {
    return TakeAnswer(*leg, std::move(result.response));
  }
  TakeLoss(*leg, result);
}

void RequestRun::TakeAnswer(const Leg& leg, http::Response response) {
  const auto judged = relay_.dialect_.classify_answer(response, terms_);
  NoteUpstream(leg, judged);
  switch (judged.kind) {
    case AnswerKind::kFinal:
      EndExchange(leg, Outcome::kServed, "served");
      break;
    case AnswerKind::kServerFailure:
      EndExchange(leg, Outcome::kFailed, "server_failure");
      may_have_run_ = true;
      break;
    case AnswerKind::kNotRun:
      EndExchange(leg, judged.back_off_for ? Outcome::kBackOff : Outcome::kShed, "not_run");
      break;
    case AnswerKind::kOtherUpstream:
      EndExchange(leg, Outcome::kUnreachable, "other_upstream");
      break;
    case AnswerKind::kForeign:
      EndExchange(leg, Outcome::kFailed, "foreign_answer");
      may_have_run_ = true;
      break;
  }
  // Another copy of the answer may follow, and would be taken for the next request's: a refusal
  // without an id can't be told apart.
  const bool own = judged.kind == AnswerKind::kFinal || judged.kind == AnswerKind::kServerFailure;
  if (!own) leg.connection->Close();
  if (judged.kind == AnswerKind::kFinal && relay_.crash_guard_.has_suspects()) {
    relay_.crash_guard_.AddSuccess(fingerprint(), leg.choice.address);
  }
  if (judged.kind == AnswerKind::kFinal) return Finish(std::move(response), "served", "");
  // The other sending may still be answered.
  if (!legs_.empty()) return;
  // A refusal with free slots says nothing about the next request to the same upstream, which may
  // be the only one that is warm for it.
  const bool had_room = judged.load && judged.load->running < judged.load->slots;
  if (judged.kind == AnswerKind::kNotRun && had_room) {
    std::erase(demand_.tried, leg.choice.upstream);
  }
  const bool not_run =
      judged.kind == AnswerKind::kNotRun || judged.kind == AnswerKind::kOtherUpstream;
  if (MayTryAgain(not_run)) return Try();
  if (judged.kind == AnswerKind::kServerFailure) {
    return Finish(std::move(response), "failed", "server_failure");
  }
  if (not_run && !may_have_run_) return Refuse("upstream_refused");
  GiveUp();
}

void RequestRun::EndExchange(const Leg& leg, Outcome outcome, std::string_view result) {
  const auto now = base::MonotonicNow();
  relay_.chooser_.RecordAttemptEnd(leg.sending, leg.choice, demand_, outcome, now - leg.sent_at,
                                   now);
  if (leg.suspect) relay_.crash_guard_.RemoveRunningSuspect(leg.choice.upstream);
  relay_.metrics_.NoteExchange(result, now - leg.sent_at);
}

// Upstreams drop a request when its connection closes.
void RequestRun::EndAllLegs(std::string_view result) {
  for (const auto& leg : std::exchange(legs_, {})) {
    leg->connection->Close();
    EndExchange(*leg, Outcome::kUnknown, result);
  }
}

bool RequestRun::MayTryAgain(bool known_not_run) {
  const auto now = base::MonotonicNow();
  if (!demand_.route->idempotent && (may_have_run_ || !known_not_run)) return false;
  if (sends_ >= demand_.route->attempts) return false;
  if (!HasTimeToTry()) return false;
  return relay_.allowance_.TryRetry(demand_.service, now);
}

bool RequestRun::HasTimeToTry() const {
  return deadline_ - base::MonotonicNow() >= kLeastTimeToTry;
}

void RequestRun::GiveUp(std::string_view reason) { Finish(Plain(502), "failed", reason); }

void RequestRun::Expire() {
  if (finished_) return;
  EndAllLegs("timeout");
  Finish(Plain(504), "failed", "timeout");
}

void RequestRun::ClientLeft() {
  if (finished_) return;
  finished_ = true;
  timer_.cancel();
  hedge_timer_.cancel();
  EndAllLegs("client_left");
  relay_.metrics_.NoteAnswer("client_left", base::MonotonicNow() - inbound_->received_at);
  Log(Level::kInfo, "client_left", "the caller closed its connection", {});
}

// Callers come back when the first upstream wants work again, the urgent ones first and the others
// spread behind them.
std::optional<base::Duration> RequestRun::ReturnAfter(const placement::Choice& choice) const {
  if (choice.refusal != Refusal::kBackingOff) return std::nullopt;
  const auto share = std::hash<std::string>()(terms_.request_id) % kSpreadSteps;
  const auto spread = kReturnSpread * static_cast<std::int64_t>(share) / kSpreadSteps;
  const bool urgent = demand_.route->priority <= 1;
  return choice.retry_after + (urgent ? spread : kReturnSpread + spread);
}

// The caller is told to come back while it still has time for an answer.
void RequestRun::Refuse(std::string_view reason, std::optional<base::Duration> back) {
  auto response = Plain(503);
  const auto left = terms_.deadline.value_or(std::chrono::seconds(3)) -
                    (base::MonotonicNow() - inbound_->received_at);
  const auto usual = std::clamp(left / kReturnShare, kSoonestReturn, kLatestReturn);
  const auto latest = std::max(left / kLongestReturnShare, kSoonestReturn);
  const auto after = back ? std::clamp(*back, kSoonestReturn, latest) : usual;
  response.headers.push_back({"Retry-After", RetryAfter(after)});
  Finish(std::move(response), "refused", reason);
}

void RequestRun::Finish(http::Response response, std::string_view outcome,
                        std::string_view reason) {
  if (finished_) return;
  finished_ = true;
  timer_.cancel();
  hedge_timer_.cancel();
  EndAllLegs("overtaken");
  const auto total = base::MonotonicNow() - inbound_->received_at;
  relay_.metrics_.NoteAnswer(reason.empty() ? outcome : reason, total);
  Log(outcome == "served" ? Level::kInfo : Level::kWarning, "request_ended", std::string(outcome),
      {{"reason", std::string(reason)},
       {"status", std::to_string(response.status)},
       {"upstream", choice_.upstream},
       {"sends", std::to_string(sends_)},
       {"total_ms", Millis(total)},
       {"expected_ms", Millis(choice_.expected_total)},
       {"heard_age_ms", Millis(choice_.last_seen_age)},
       {"candidates", std::to_string(choice_.candidates)}});
  inbound_->Answer(std::move(response));
}

void RequestRun::Log(Level level, const std::string& event, const std::string& message,
                     std::vector<logging::Field> fields) {
  fields.push_back({"request_id", terms_.request_id});
  fields.push_back({"route", demand_.route == nullptr ? "" : demand_.route->name});
  relay_.log_.Write(level, event, message, std::move(fields), base::MonotonicNow());
}

}  // namespace wagtailpick::relay
