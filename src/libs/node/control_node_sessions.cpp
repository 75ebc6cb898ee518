#include "logging/log.h"
#include "node/control_node.h"

// The part of ControlNode that handles the links that entries and other replicas open to it.

namespace wagtailpick::node {
namespace {

using logging::Level;

}  // namespace

cluster::Acceptor::Hooks ControlNode::SessionHooks() {
  cluster::Acceptor::Hooks hooks;
  hooks.opened = [this](const cluster::Session& session) { HandleSessionOpened(session); };
  hooks.closed = [this](const cluster::Session& session, const std::string& reason) {
    logging::Write(Level::kWarning, "session_lost", session.hello.vm, {{"reason", reason}});
    entries_changed_ = true;
  };
  hooks.message = [this](const cluster::Session& session, const cluster::Message& message) {
    HandleSessionMessage(session, message);
  };
  hooks.pinged = [this](const cluster::Session& session) { HandlePing(session); };
  hooks.followed = [this](const cluster::Session& session) {
    entries_without_list_.insert(session.id);
    const auto blocked = BlockedSuspects();
    if (!blocked.reports.empty()) acceptor_->Send(session.id, blocked);
    const cluster::LimitReports limits{limits_.reports(base::MonotonicNow())};
    if (!limits.reports.empty()) acceptor_->Send(session.id, limits);
  };
  hooks.ready_changed = [](const cluster::Session& session) {
    logging::Write(Level::kInfo, "entry_ready_changed", session.hello.vm,
                   {{"ready", session.last_ping.ready ? "true" : "false"}});
  };
  return hooks;
}

void ControlNode::HandleSessionOpened(const cluster::Session& session) {
  const auto& hello = session.hello;
  logging::Write(Level::kInfo, "session_opened", hello.vm,
                 {{"role", hello.role == cluster::NodeRole::kEntry ? "entry" : "replica"},
                  {"address", hello.service_address}});
  if (hello.role == cluster::NodeRole::kReplica) {
    incarnations_[hello.cluster_address] = hello.incarnation;
    const cluster::ReplicaAddress replica{hello.cluster_address, hello.service_address,
                                          hello.data_centre};
    replica_links_->AddReplicas({replica});
    // Connected processes have received the other replicas before, so they get only the new one: at
    // a start of all processes, the whole list for each replica would fill the entries' links.
    acceptor_->Broadcast(cluster::NodeRole::kEntry, cluster::Replicas{{replica}});
    acceptor_->Broadcast(cluster::NodeRole::kReplica, cluster::Replicas{{replica}});
    acceptor_->Send(session.id, cluster::Replicas{KnownReplicas()});
    return;
  }
  entries_changed_ = true;
  acceptor_->Send(session.id, cluster::Replicas{KnownReplicas()});
  acceptor_->Send(session.id, LeavingReports());
  acceptor_->Send(session.id, Summary());
}

void ControlNode::HandleSessionMessage(const cluster::Session& session,
                                       const cluster::Message& message) {
  if (const auto* consensus = std::get_if<cluster::Consensus>(&message)) {
    return log_->Step(consensus->messages);
  }
  if (const auto* reports = std::get_if<cluster::Reports>(&message)) {
    HandleReports(*reports, session.hello.role);
    return AcknowledgeReports(session.id, *reports);
  }
  if (const auto* heartbeats = std::get_if<cluster::Heartbeats>(&message)) {
    return HandleHeartbeats(session, *heartbeats);
  }
  if (const auto* observations = std::get_if<cluster::Observations>(&message)) {
    return HandleObservations(session, *observations);
  }
  if (const auto* suspects = std::get_if<cluster::Suspects>(&message)) {
    return HandleSuspects(session, *suspects);
  }
  if (const auto* limits = std::get_if<cluster::LimitReports>(&message)) {
    return HandleLimits(*limits, session.hello.role);
  }
  if (const auto* request = std::get_if<cluster::TokenRequest>(&message)) {
    return HandleTokenRequest(session, *request);
  }
  if (const auto* issued = std::get_if<cluster::TokensIssued>(&message)) {
    return HandleTokensIssued(*issued);
  }
  if (const auto* conditions = std::get_if<cluster::Conditions>(&message)) {
    return conditions_[session.hello.cluster_address].Apply(conditions->conditions,
                                                            base::MonotonicNow());
  }
  if (const auto* request = std::get_if<cluster::ReportsRequest>(&message)) {
    return acceptor_->SendFrame(session.id,
                                answer_cache_.Answer(upstreams_, *request, base::MonotonicNow()));
  }
  if (const auto* request = std::get_if<cluster::CatalogRequest>(&message)) {
    const auto piece = catalog_source_.Answer(*request);
    if (piece) acceptor_->Send(session.id, *piece);
  }
}

// An entry receives the order summary when an order is committed, and again after each ping that
// shows it behind, as the first summary may have been lost with a link.
void ControlNode::HandlePing(const cluster::Session& session) {
  if (session.hello.role != cluster::NodeRole::kEntry) return;
  const auto& ping = session.last_ping;
  const bool behind =
      ping.orders_index < state_.changed_index() || ping.catalog_version < state_.catalog_version();
  if (behind) acceptor_->Send(session.id, Summary());
}

}  // namespace wagtailpick::node
