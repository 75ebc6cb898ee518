#include "logging/log.h"
#include "node/control_node.h"

namespace wagtailpick::node {

// Reports from an entry go to all replicas at once, so that each replica holds all reports when it
// publishes to its followers. Reports from a replica are not forwarded: it has sent them to all
// other replicas itself.
void ControlNode::HandleSuspects(const cluster::Session& session,
                                 const cluster::Suspects& message) {
  const auto now = base::WallNowMillis();
  for (const auto& report : message.reports) suspects_.Merge(report, now);
  const cluster::Suspects changes{suspects_.ConsumeChanges(now)};
  if (changes.reports.empty()) return;
  cache_outdated_ = true;
  if (session.hello.role == cluster::NodeRole::kEntry) replica_links_->Broadcast(changes);
  PublishBlockedSuspects(changes.reports);
}

// Most requests that were running when an upstream crashed did not cause the crash. So entries
// receive only the blocked ones, and a report when a request is no longer blocked.
void ControlNode::PublishBlockedSuspects(const std::vector<safety::SuspectReport>& changes) {
  const auto now = base::WallNowMillis();
  cluster::Suspects published;
  for (const auto& report : changes) {
    const bool blocks = suspects_.IsBlocking(report, now);
    const bool was_blocked = published_blocked_.contains(report.fingerprint);
    if (!blocks && !was_blocked) continue;
    published.reports.push_back(report);
    if (blocks == was_blocked) continue;
    logging::Write(logging::Level::kWarning, blocks ? "request_blocked" : "request_unblocked",
                   safety::ToHex(report.fingerprint),
                   {{"strikes", std::to_string(report.strikes.size())}});
    if (blocks) {
      published_blocked_.insert(report.fingerprint);
    } else {
      published_blocked_.erase(report.fingerprint);
    }
  }
  if (!published.reports.empty()) acceptor_->BroadcastToFollowers(published);
}

cluster::Suspects ControlNode::BlockedSuspects() {
  const auto now = base::WallNowMillis();
  cluster::Suspects blocked{suspects_.reports(now)};
  std::erase_if(blocked.reports,
                [this, now](const auto& report) { return !suspects_.IsBlocking(report, now); });
  for (const auto& report : blocked.reports) published_blocked_.insert(report.fingerprint);
  return blocked;
}

}  // namespace wagtailpick::node
