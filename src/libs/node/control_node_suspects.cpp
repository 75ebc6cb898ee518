#include "logging/log.h"
#include "node/control_node.h"

namespace wagtailpick::node {

// What an entry saw goes to all replicas at once, so that each knows all of it when its followers
// have to be told; what a replica tells, it has told all the others.
void ControlNode::HandleSuspects(const cluster::Session& session,
                                 const cluster::Suspects& message) {
  const auto now = base::WallNowMillis();
  for (const auto& report : message.reports) suspects_.Merge(report, now);
  const cluster::Suspects changes{suspects_.TakeChanges(now)};
  if (changes.reports.empty()) return;
  cache_outdated_ = true;
  if (session.hello.role == cluster::NodeRole::kEntry) replica_links_->Broadcast(changes);
  PublishBlockedSuspects(changes.reports);
}

// Most requests under which an upstream was lost are sound; entries need only those that are
// blocked, and the word that one isn't any more.
void ControlNode::PublishBlockedSuspects(const std::vector<safety::SuspectReport>& changes) {
  cluster::Suspects told;
  for (const auto& report : changes) {
    const bool blocks = suspects_.IsBlocking(report);
    const bool was_told = published_blocked_.contains(report.fingerprint);
    if (!blocks && !was_told) continue;
    told.reports.push_back(report);
    if (blocks == was_told) continue;
    logging::Write(logging::Level::kWarning, blocks ? "request_blocked" : "request_unblocked",
                   safety::ToHex(report.fingerprint),
                   {{"strikes", std::to_string(report.strikes.size())}});
    if (blocks) {
      published_blocked_.insert(report.fingerprint);
    } else {
      published_blocked_.erase(report.fingerprint);
    }
  }
  if (!told.reports.empty()) acceptor_->BroadcastToFollowers(told);
}

cluster::Suspects ControlNode::BlockedSuspects() {
  cluster::Suspects blocked{suspects_.reports(base::WallNowMillis())};
  std::erase_if(blocked.reports,
                [this](const auto& report) { return !suspects_.IsBlocking(report); });
  for (const auto& report : blocked.reports) published_blocked_.insert(report.fingerprint);
  return blocked;
}

}  // namespace wagtailpick::node
