#include "relay/relay.h"

#include <functional>
#include <utility>

#include "base/endpoint.h"
#include "relay/request_run.h"

namespace wagtailpick::relay {
namespace {

constexpr std::uint32_t kLogLinesPerSecond = 60;
/// An upstream that wanted nothing for a time gets work from all entries again within this part of
/// it more, and at most this much more.
constexpr int kReturnSpreadPart = 4;
constexpr base::Duration kMaxReturnSpread = std::chrono::milliseconds(500);
/// Answers are held whole until their end has been checked.
constexpr net::MessageLimits kAnswerLimits{64UL * 1024, 64UL * 1024 * 1024};

}  // namespace

Relay::Relay(asio::io_context& loop, const RelayOptions& options, Dialect dialect,
             RoutingState& beliefs, metrics::Registry& registry)
    : loop_(loop),
      dialect_(std::move(dialect)),
      routing_state_(routing_state),
      pool_(loop, kAnswerLimits),
      chooser_(placement::NetworkDistance(options.data_centre, options.regions),
               placement::ColdRateLimiter(options.vm, options.cold_bound)),
      allowance_(options.retry_bound),
      splits_(std::hash<std::string>()(options.vm)),
      log_(kLogLinesPerSecond),
      metrics_(registry),
      crash_guard_(loop, log_, registry),
      vm_(options.vm) {}

void Relay::Handle(std::shared_ptr<net::InboundRequest> inbound) {
  std::make_shared<RequestRun>(*this, std::move(inbound))->Start();
}

void Relay::SetEntries(const std::vector<std::string>& entries) {
  chooser_.SetEntries(entries);
  allowance_.SetEntries(entries.size());
}

void Relay::DropUpstreamState(const std::string& id, const std::string& address, bool restarted) {
  if (restarted) chooser_.RemoveUpstream(id);
  const auto endpoint = base::ParseEndpoint(address);
  if (endpoint) pool_.Drop(endpoint.value());
}

// It takes no new work from then on, whatever it or others announce of this run: its idle
// connections go as well, as the answer's own has gone back to the pool.
void Relay::NoteLeaving(const std::string& id, std::int64_t started_unix_ms,
                        const std::string& request_id) {
  const auto* known = routing_state_.upstreams.Find(id);
  if (known == nullptr) return;
  const auto heard_age = base::MonotonicNow() - known->last_seen;
  const auto report = routing_state_.upstreams.MarkLeft(id, started_unix_ms);
  if (!report) return;
  DropUpstreamState(id, report->address, false);
  leaving_.push_back(*report);
  metrics_.NoteUpstreamAnswer("leaving");
  log_.Write(logging::Level::kInfo, "upstream_leaving", id,
             {{"request_id", request_id},
              {"upstream", id},
              {"incarnation", std::to_string(started_unix_ms)},
              {"heard_age_ms", std::to_string(heard_age.count() / 1'000)}},
             base::MonotonicNow());
}

// Entries come back one after the other, as the upstream has just been full.
void Relay::NoteUnwanted(const placement::Choice& choice, base::Duration time,
                         const std::string& request_id) {
  const auto spread = std::min(time / kReturnSpreadPart, kMaxReturnSpread);
  const auto share = static_cast<double>(std::hash<std::string>()(vm_ + choice.upstream) % 1'000);
  const auto later = base::Duration(
      static_cast<std::int64_t>(static_cast<double>(spread.count()) * share / 1'000.0));
  chooser_.SetBackOff(choice.upstream, base::MonotonicNow() + time + later);
  metrics_.NoteUpstreamAnswer("unwanted");
  log_.Write(logging::Level::kInfo, "upstream_wants_nothing", choice.upstream,
             {{"request_id", request_id},
              {"upstream", choice.upstream},
              {"for_ms", std::to_string(time.count() / 1'000)},
              {"spread_ms", std::to_string(later.count() / 1'000)},
              {"heard_age_ms", std::to_string(choice.last_seen_age.count() / 1'000)}},
             base::MonotonicNow());
}

bool Relay::MaySend(const std::string& id, std::int64_t started_unix_ms) const {
  const auto* known = routing_state_.upstreams.Find(id);
  if (known == nullptr || known->report.state != upstreams::State::kReady) return false;
  return known->report.started_unix_ms == started_unix_ms &&
         !chooser_.IsBackingOff(id, base::MonotonicNow());
}

}  // namespace wagtailpick::relay
