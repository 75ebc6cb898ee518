#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "base/endpoint.h"
#include "net/http_text.h"
#include "relay/request_run.h"

// The part of RequestRun that sends attempts and hedges.

namespace wagtailpick::relay {
namespace {

using base::Duration;
using logging::Level;
using placement::Refusal;

/// Oldest idle connection that a non-idempotent request uses. An upstream may close an idle
/// connection at any time, and a request that is lost with it cannot be sent again.
constexpr Duration kMaxIdleNonIdempotent = std::chrono::milliseconds(1'500);
/// A hedge is sent when the first attempt takes this many times as long as expected.
constexpr int kHedgeFactor = 3;

std::string Tenths(double value) {
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.1f", value);
  return {text.data(), static_cast<std::size_t>(length)};
}

}  // namespace

void RequestRun::Send(const placement::Choice& choice) {
  choice_ = choice;
  // After a delay of the loop, a token may be handled before the timer of the deadline.
  if (IsPastDeadline()) return HandleTimeout();
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
  ScheduleHedge(choice);
  StartExchange(attempt);
}

void RequestRun::StartExchange(const std::shared_ptr<Attempt>& attempt) {
  attempt->sent = attempt->connection->connected();
  attempt->connection->may_send = [this, weak = std::weak_ptr(attempt)] {
    const auto connected = weak.lock();
    if (connected == nullptr) return false;
    connected->sent = MaySend(*connected);
    return connected->sent;
  };
  const auto request = relay_.dialect_.build_upstream_request(
      inbound_->request, attempt->choice.upstream, deadline_ - attempt->sent_at);
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
  return !lacks_token && !IsPastDeadline() && MayStartWhileDraining(choice) &&
         relay_.MaySend(choice.upstream, started_unix_ms);
}

void RequestRun::LogSent(const placement::Choice& choice, base::MonotonicTime now) {
  std::vector<logging::Field> fields{{"upstream", choice.upstream},
                                     {"service", placement_request_.service},
                                     {"catalog_version", std::to_string(catalog_->version())},
                                     {"expected_ms", FormatMillis(choice.expected_total)},
                                     {"expected_wait_ms", FormatMillis(choice.expected_wait)},
                                     {"object", std::to_string(placement_request_.object)},
                                     {"warm", choice.warm ? "true" : "false"},
                                     {"load", Tenths(choice.load)},
                                     {"slots", std::to_string(choice.slots)},
                                     {"heard_age_ms", FormatMillis(choice.last_seen_age)},
                                     {"candidates", std::to_string(choice.candidates)},
                                     {"attempt", std::to_string(sends_)},
                                     {"time_left_ms", FormatMillis(deadline_ - now)}};
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

}  // namespace wagtailpick::relay
