#include <string>

#include "logging/log.h"
#include "node/control_node.h"

// The part of ControlNode that merges rate limits of upstreams and issues their tokens.

namespace wagtailpick::node {

// An entry sends its reports to the replica that it follows, which passes changes on to the other
// replicas. Each replica sends changes to its followers.
void ControlNode::HandleLimits(const cluster::LimitReports& message, cluster::NodeRole from) {
  const auto now = base::MonotonicNow();
  cluster::LimitReports changed;
  for (const auto& report : message.reports) {
    const auto change = limits_.Apply(report, now);
    if (change == limits::LimitChange::kNone) continue;
    changed.reports.push_back(report);
    logging::Write(logging::Level::kInfo, "upstream_limit_changed", report.upstream,
                   {{"incarnation", std::to_string(report.started_unix_ms)},
                    {"change", std::string(limits::ToString(change))},
                    {"limit_per_s", std::to_string(report.requests_per_second)},
                    {"limit_age_ms", std::to_string(report.age.count() / 1'000)}});
  }
  if (changed.reports.empty()) return;
  if (from == cluster::NodeRole::kEntry) replica_links_->Broadcast(changed);
  acceptor_->BroadcastToFollowers(changed);
}

void ControlNode::HandleTokenRequest(const cluster::Session& session,
                                     const cluster::TokenRequest& request) {
  const auto now = base::MonotonicNow();
  const auto& report = request.limit;
  HandleLimits({{report}}, session.hello.role);
  const auto* limit = limits_.Find(report.upstream, report.started_unix_ms);
  cluster::TokenAnswer answer;
  // This replica knows a newer run than the entry, which gets no token for the old one.
  if (limit != nullptr) answer = token_issuer_.Issue(report.upstream, *limit, request.urgent, now);
  answer.id = request.id;
  metrics_
      .CounterAt("wagtailpick_limit_tokens_issued_total",
                 answer.granted ? "result=\"granted\"" : "result=\"denied\"")
      .Add();
  acceptor_->Send(session.id, answer);
}

void ControlNode::HandleTokensIssued(const cluster::TokensIssued& message) {
  const auto now = base::MonotonicNow();
  for (const auto& issued : message.tokens) {
    token_issuer_.Charge(issued, limits_.Find(issued.upstream, issued.started_unix_ms), now);
  }
}

void ControlNode::SendTokensIssued() {
  const cluster::TokensIssued issued{token_issuer_.ConsumeIssued()};
  if (!issued.tokens.empty()) replica_links_->Broadcast(issued);
}

void ControlNode::RemoveOldLimits(base::MonotonicTime now) {
  limits_.RemoveIf([this, now](const std::string& id, const limits::RateLimit& limit) {
    return limits::IsOver(limit, upstreams_.RunOf(id), now);
  });
  token_issuer_.RemoveIf([this](const std::string& id) { return !limits_.Contains(id); });
  metrics_.GaugeAt("wagtailpick_upstreams_limited")
      .Set(static_cast<std::int64_t>(limits_.in_force()));
}

}  // namespace wagtailpick::node
