#include "relay/relay.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <utility>

#include "base/endpoint.h"
#include "base/hash_fraction.h"
#include "relay/request_run.h"

namespace wagtailpick::relay {
namespace {

constexpr std::uint32_t kLogLinesPerSecond = 60;
/// After an upstream's back-off, entries resume one after the other, spread over the back-off time
/// divided by this, but over no more than `kMaxBackOffSpread`.
constexpr int kBackOffSpreadDivisor = 4;
constexpr base::Duration kMaxBackOffSpread = std::chrono::milliseconds(500);
/// Limits of an answer's headers and body, in bytes. An answer is buffered until it is complete.
constexpr net::MessageLimits kAnswerLimits{64UL * 1024, 64UL * 1024 * 1024};

}  // namespace

std::string FormatLimit(double requests_per_second) {
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.2f", requests_per_second);
  return {text.data(), static_cast<std::size_t>(length)};
}

Relay::Relay(asio::io_context& loop, const RelayOptions& options, Dialect dialect,
             RoutingState& routing_state, metrics::Registry& registry)
    : loop_(loop),
      dialect_(std::move(dialect)),
      routing_state_(routing_state),
      pool_(loop, kAnswerLimits, options.memory),
      chooser_(placement::NetworkDistance(options.data_centre, options.regions),
               placement::ColdRateLimiter(options.vm, options.cold_bound)),
      retry_budget_(options.retry_bound),
      splits_(std::hash<std::string>()(options.vm)),
      limits_(options.vm),
      token_requests_(loop),
      log_(kLogLinesPerSecond),
      metrics_(registry),
      crash_guard_(loop, log_, registry),
      vm_(options.vm) {}

void Relay::Handle(std::shared_ptr<net::InboundRequest> inbound) {
  std::make_shared<RequestRun>(*this, std::move(inbound))->Start();
}

std::vector<std::shared_ptr<RequestRun>> Relay::CopyRuns() const {
  std::vector<std::shared_ptr<RequestRun>> runs;
  for (auto* run : *runs_) runs.push_back(run->shared_from_this());
  return runs;
}

std::size_t Relay::EndRequests() {
  const auto runs = CopyRuns();
  return static_cast<std::size_t>(std::count_if(
      runs.begin(), runs.end(), [](const auto& run) { return run->EndBeforeExit(); }));
}

std::size_t Relay::RefuseUnsentRequests() {
  const auto runs = CopyRuns();
  return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(), [](const auto& run) { return run->RefuseUnsent(); }));
}

void Relay::RecordRefusedForMemory(const http::Request& head) {
  metrics_.RecordAnswer(kNoMemoryReason, base::Duration::zero());
  const auto attributes = dialect_.parse_request(head);
  const auto* length = http::FindHeader(head.headers, "Content-Length");
  log_.Write(logging::Level::kWarning, "request_ended", "refused",
             {{"reason", std::string(kNoMemoryReason)},
              {"status", "503"},
              {"request_id", attributes ? attributes.value().request_id : std::string()},
              {"body_bytes", length == nullptr ? "not declared" : *length}},
             base::MonotonicNow());
}

void Relay::RecordUnread(const net::UnreadRequest& request) {
  const auto reason = net::ToString(request.error);
  metrics_.RecordAnswer(reason, base::Duration::zero());
  const auto attributes = dialect_.parse_request(request.head);
  log_.Write(logging::Level::kWarning, "request_ended", "rejected",
             {{"reason", std::string(reason)},
              {"status", std::to_string(request.status)},
              {"request_id", attributes ? attributes.value().request_id : std::string()},
              {"method", request.head.method},
              {"framing", std::string(http::ToString(request.framing_error))}},
             base::MonotonicNow());
}

void Relay::SetEntries(const std::vector<std::string>& entries) {
  chooser_.SetEntries(entries);
  retry_budget_.SetEntries(entries.size());
  limits_.SetEntryCount(entries.size());
}

void Relay::Tick(base::MonotonicTime now) {
  pool_.CloseStale(now);
  limits_.RemoveIf(
      [this, now](const std::string& id, const limits::RateLimit& limit) {
        return limits::IsOver(limit, routing_state_.upstreams.RunOf(id), now);
      },
      now);
}

void Relay::DropUpstreamState(const std::string& id, const std::string& address, bool restarted) {
  if (restarted) chooser_.RemoveUpstream(id);
  const auto endpoint = base::ParseEndpoint(address);
  if (endpoint) pool_.CloseIdle(endpoint.value());
}

// The run gets no new requests, even if a later announcement reports it as ready. The idle
// connections to it are closed as well: the one that carried the answer is already in the pool
// again.
void Relay::HandleLeaving(const std::string& id, std::int64_t started_unix_ms,
                          const std::string& request_id) {
  const auto* known = routing_state_.upstreams.Find(id);
  if (known == nullptr) return;
  const auto last_seen_age = base::MonotonicNow() - known->last_seen;
  const auto report = routing_state_.upstreams.MarkLeft(id, started_unix_ms);
  if (!report) return;
  DropUpstreamState(id, report->address, false);
  leaving_reports_.push_back(*report);
  metrics_.CountUpstreamStatus("leaving");
  log_.Write(logging::Level::kInfo, "upstream_leaving", id,
             {{"request_id", request_id},
              {"upstream", id},
              {"incarnation", std::to_string(started_unix_ms)},
              {"heard_age_ms", FormatMillis(last_seen_age)}},
             base::MonotonicNow());
}

// Entries resume at different times, as the upstream was full a moment ago.
void Relay::HandleBackOff(const placement::Choice& choice, base::Duration back_off,
                          const std::string& request_id) {
  const auto spread = std::min(back_off / kBackOffSpreadDivisor, kMaxBackOffSpread);
  const auto delay = base::Scale(spread, base::HashFraction(vm_ + choice.upstream));
  chooser_.SetBackOff(choice.upstream, base::MonotonicNow() + back_off + delay);
  metrics_.CountUpstreamStatus("unwanted");
  log_.Write(logging::Level::kInfo, "upstream_wants_nothing", choice.upstream,
             {{"request_id", request_id},
              {"upstream", choice.upstream},
              {"for_ms", FormatMillis(back_off)},
              {"spread_ms", FormatMillis(delay)},
              {"heard_age_ms", FormatMillis(choice.last_seen_age)}},
             base::MonotonicNow());
}

void Relay::HandleLimit(const std::string& id, std::int64_t started_unix_ms,
                        const ClassifiedAnswer& answer, base::MonotonicTime sent_at,
                        const std::string& request_id) {
  const auto now = base::MonotonicNow();
  if (answer.requests_per_second) metrics_.CountUpstreamStatus("limited");
  // Neither an unreadable limit nor a refusal without one ends a limit: an upstream that turns
  // requests away is still in need.
  const bool says_nothing = answer.invalid_limit || answer.kind == AnswerKind::kNotRun;
  if (says_nothing && !answer.requests_per_second) return;
  const auto change =
      limits_.table().RecordAnswer(id, started_unix_ms, answer.requests_per_second, sent_at, now);
  LogLimitChange(id, started_unix_ms, change, request_id);
}

void Relay::MergeLimits(const std::vector<limits::LimitReport>& reports) {
  const auto now = base::MonotonicNow();
  for (const auto& report : reports) {
    const auto change = limits_.table().Apply(report, now);
    LogLimitChange(report.upstream, report.started_unix_ms, change, {});
  }
}

void Relay::LogLimitChange(const std::string& id, std::int64_t started_unix_ms,
                           limits::LimitChange change, const std::string& request_id) {
  if (change == limits::LimitChange::kNone) return;
  const auto now = base::MonotonicNow();
  const auto* limit = limits_.table().Find(id, started_unix_ms);
  log_.Write(logging::Level::kInfo, "upstream_limit_changed", id,
             {{"request_id", request_id},
              {"upstream", id},
              {"incarnation", std::to_string(started_unix_ms)},
              {"change", std::string(limits::ToString(change))},
              {"limit_per_s", FormatLimit(limit->requests_per_second)},
              {"limit_age_ms", FormatMillis(now - limit->stated_at)}},
             now);
}

std::vector<logging::Field> Relay::LimitFields(const std::string& id, std::int64_t started_unix_ms,
                                               base::MonotonicTime now) const {
  const auto* limit = limits_.table().Find(id, started_unix_ms);
  if (limit == nullptr || limit->ended) return {};
  return {{"limit_per_s", FormatLimit(limit->requests_per_second)},
          {"limit_age_ms", FormatMillis(now - limit->stated_at)}};
}

bool Relay::MaySend(const std::string& id, std::int64_t started_unix_ms) const {
  const auto* known = routing_state_.upstreams.Find(id);
  if (known == nullptr || known->report.state != upstreams::State::kReady) return false;
  return known->report.started_unix_ms == started_unix_ms &&
         !chooser_.IsBackingOff(id, base::MonotonicNow());
}

}  // namespace wagtailpick::relay
