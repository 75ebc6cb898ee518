#include <functional>
#include <utility>

#include "node/control_node.h"

namespace wagtailpick::node {
namespace {

/// A slow upstream is to be spared by all entries within about two seconds.
constexpr base::Duration kInterval = std::chrono::milliseconds(300);

}  // namespace

void ControlNode::HandleObservations(const cluster::Session& session,
                                     const cluster::Observations& message) {
  if (session.hello.role == cluster::NodeRole::kReplica) {
    return observation_merger_.Take(message.observations, base::MonotonicNow());
  }
  for (const auto& seen : message.observations) unsent_observations_[seen.upstream].Add(seen);
}

// One replica merges all that is seen of an upstream, so that its cost doesn't grow with the number
// of replicas. While replicas disagree on which are up, some see a part of the observations only.
std::string ControlNode::MergingReplica(const std::string& upstream) const {
  const auto rank = [&](const std::string& replica) {
    return std::hash<std::string>()(replica + upstream);
  };
  std::string best = self_;
  for (const auto& replica : replica_links_->replicas()) {
    const auto& name = replica.cluster_address;
    if (replica_links_->IsUp(name) && rank(name) > rank(best)) best = name;
  }
  return best;
}

void ControlNode::SendObservations(base::MonotonicTime now) {
  std::map<std::string, cluster::Observations> by_replica;
  for (auto& [id, seen] : std::exchange(unsent_observations_, {})) {
    by_replica[MergingReplica(id)].observations.push_back(std::move(seen));
  }
  for (const auto& [replica, message] : by_replica) {
    if (replica == self_) {
      observation_merger_.Take(message.observations, now);
    } else {
      replica_links_->Send(replica, message);
    }
  }
}

void ControlNode::SendConditions(base::MonotonicTime now) {
  if (now < conditions_due_) return;
  conditions_due_ = now + kInterval;
  SendObservations(now);
  const cluster::Conditions own{observation_merger_.Conditions(now, [this](const std::string& id) {
    const auto* known = upstreams_.Find(id);
    return known == nullptr ? std::string() : known->report.service;
  })};
  auto& told = conditions_[self_];
  if (!own.conditions.empty() || !told.empty()) replica_links_->Broadcast(own);
  told.Take(own.conditions, now);
  cluster::Conditions all;
  for (const auto& [replica, conditions] : conditions_) conditions.CopyTo(all.conditions, now);
  // The empty message ends what was told before.
  const bool told_before = std::exchange(conditions_published_, !all.conditions.empty());
  if (conditions_published_ || told_before) acceptor_->BroadcastToFollowers(all);
}

}  // namespace wagtailpick::node
