#include <functional>
#include <utility>

#include "node/control_node.h"

namespace wagtailpick::node {
namespace {

/// All entries have to eject a slow upstream within about 2 s.
constexpr base::Duration kConditionsInterval = std::chrono::milliseconds(300);

}  // namespace

void ControlNode::HandleObservations(const cluster::Session& session,
                                     const cluster::Observations& message) {
  if (session.hello.role == cluster::NodeRole::kReplica) {
    return outlier_detector_.AddObservations(message.observations, base::MonotonicNow());
  }
  for (const auto& observation : message.observations) {
    unsent_observations_[observation.upstream].Add(observation);
  }
}

// Selects, by rendezvous hashing, the one replica that merges all observations of an upstream, so
// that the cost does not grow with the number of replicas. While replicas disagree on which of them
// are up, each of several may receive only a part of the observations.
std::string ControlNode::MergingReplica(const std::string& upstream) const {
  const auto weight = [&](const std::string& replica) {
    return std::hash<std::string>()(replica + upstream);
  };
  std::string selected = self_;
  for (const auto& replica : replica_links_->replicas()) {
    const auto& name = replica.cluster_address;
    if (replica_links_->IsUp(name) && weight(name) > weight(selected)) selected = name;
  }
  return selected;
}

void ControlNode::SendObservations(base::MonotonicTime now) {
  std::map<std::string, cluster::Observations> by_replica;
  for (auto& [id, observation] : std::exchange(unsent_observations_, {})) {
    by_replica[MergingReplica(id)].observations.push_back(std::move(observation));
  }
  for (const auto& [replica, message] : by_replica) {
    if (replica == self_) {
      outlier_detector_.AddObservations(message.observations, now);
    } else {
      replica_links_->Send(replica, message);
    }
  }
}

void ControlNode::SendConditions(base::MonotonicTime now) {
  if (now < conditions_due_) return;
  conditions_due_ = now + kConditionsInterval;
  SendObservations(now);
  const cluster::Conditions own{outlier_detector_.Evaluate(now, [this](const std::string& id) {
    const auto* known = upstreams_.Find(id);
    return known == nullptr ? std::string() : known->report.service;
  })};
  auto& last_own = conditions_[self_];
  if (!own.conditions.empty() || !last_own.empty()) replica_links_->Broadcast(own);
  last_own.Apply(own.conditions, now);
  cluster::Conditions all;
  for (const auto& [replica, conditions] : conditions_) conditions.CopyTo(all.conditions, now);
  // An empty message withdraws the conditions that were published before.
  const bool published_before = std::exchange(conditions_published_, !all.conditions.empty());
  if (conditions_published_ || published_before) acceptor_->BroadcastToFollowers(all);
}

}  // namespace wagtailpick::node
