#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "logging/log.h"
#include "node/control_node.h"
#include "node/upstream_sync.h"

namespace wagtailpick::node {
namespace {

using logging::Level;

/// Shorter than the 1 s after which an upstream retries at another replica.
constexpr base::Duration kDrainTimeout = std::chrono::milliseconds(800);
/// A link without an answer is closed as silent before this time has passed, so at most one request
/// is unanswered on a link.
constexpr base::Duration kReportsRequestInterval = std::chrono::seconds(2);

}  // namespace

// Forwards reports from another replica to the entries that follow this one, as they may have no
// link to the replica that received the announcement.
void ControlNode::HandleReports(const cluster::Reports& reports, cluster::NodeRole from) {
  const auto now = base::MonotonicNow();
  cluster::Reports changed;
  for (const auto& aged : reports.reports) {
    const auto change = upstreams_.Apply(aged.report, aged.age, now);
    if (change == upstreams::Change::kChanged) changed.reports.push_back(aged);
  }
  if (changed.reports.empty()) return;
  cache_outdated_ = true;
  acceptor_->BroadcastToFollowers(changed);
  // A replica sends its reports to all other replicas itself. An entry reports an upstream that
  // announced its leaving in an answer only to the replica that it follows, which forwards it.
  if (from == cluster::NodeRole::kEntry) replica_links_->Broadcast(changed);
}

void ControlNode::HandleReplicaMessage(const std::string& replica,
                                       const cluster::Message& message) {
  if (const auto* reports = std::get_if<cluster::Reports>(&message)) {
    HandleReports(*reports, cluster::NodeRole::kReplica);
    // The other replica may have opened its own link, and requested what it lacks over it, before
    // this one received an announcement that it could not send yet.
    const auto missing = MakeMissingReports(upstreams_, *reports, base::MonotonicNow());
    if (!missing.reports.empty()) replica_links_->Send(replica, missing);
    return;
  }
  const auto* ack = std::get_if<cluster::ReportsAck>(&message);
  if (ack == nullptr) return;
  if (members_.FindName(replica)) CountDrainAck(ack->ack_id);
}

void ControlNode::CountDrainAck(std::uint64_t ack_id) {
  const auto found = drains_.find(ack_id);
  if (found == drains_.end() || ++found->second.ack_count < Majority()) return;
  const auto done = std::move(found->second.done);
  drains_.erase(found);
  done(true);
}

// Acknowledges a drain to the replica that sent it, once it was sent to this replica's entries and
// is on its disk.
void ControlNode::AcknowledgeReports(std::uint64_t session, const cluster::Reports& reports) {
  if (reports.ack_id == 0) return;
  for (const auto& aged : reports.reports) {
    StoreDeparture(aged.report, [this, session, ack_id = reports.ack_id] {
      acceptor_->Send(session, cluster::ReportsAck{ack_id});
    });
  }
}

void ControlNode::StoreDeparture(const upstreams::UpstreamReport& report,
                                 std::function<void()> stored) {
  // Each announcement of a draining upstream repeats the state; it is stored only once.
  const auto departure = std::make_pair(report.started_unix_ms, report.state);
  const auto known = stored_departures_.find(report.id);
  if (known != stored_departures_.end() && known->second == departure) return stored();
  departures_.Append(report, [this, alive = alive_, id = report.id, departure,
                              stored = std::move(stored)](bool done) {
    if (!done) return;
    asio::post(loop_, [this, alive, id, departure, stored] {
      if (!*alive) return;
      stored_departures_[id] = departure;
      stored();
    });
  });
}

void ControlNode::HandleAnnouncement(const upstreams::UpstreamReport& report,
                                     std::function<void(bool)> done) {
  const auto now = base::MonotonicNow();
  const auto change = upstreams_.Apply(report, base::Duration::zero(), now);
  if (change == upstreams::Change::kChanged) {
    cache_outdated_ = true;
    logging::Write(Level::kInfo, "upstream_changed", report.id,
                   {{"state", std::string(upstreams::ToString(report.state))},
                    {"service", report.service},
                    {"address", report.address},
                    {"sequence", std::to_string(report.sequence)},
                    {"cold_left_ms", std::to_string(report.cold_left.count() / 1'000)}});
  }
  if (report.state != upstreams::State::kReady) return ReplicateDrain(report, std::move(done));
  if (change == upstreams::Change::kChanged) {
    const cluster::Reports message{0, {{report, base::Duration::zero()}}, {}};
    acceptor_->BroadcastToFollowers(message);
    replica_links_->Broadcast(message);
  } else if (change == upstreams::Change::kHeartbeat) {
    unsent_heartbeats_.push_back({report.id, report.started_unix_ms, report.sequence});
  }
  done(true);
}

void ControlNode::HandleLeave(const std::string& id, std::function<void(bool)> done) {
  const auto* known = upstreams_.Find(id);
  if (known == nullptr) return done(false);
  auto report = known->report;
  report.state = upstreams::State::kLeft;
  HandleAnnouncement(report, std::move(done));
}

// No entry may send requests to an upstream whose drain was acknowledged. So a drain is
// acknowledged only once a majority of the group has it on disk and sends it to its entries: an
// entry that is in contact with the group reaches one of these replicas.
void ControlNode::ReplicateDrain(const upstreams::UpstreamReport& report,
                                 std::function<void(bool)> done) {
  if (members_.voter_count() == 0) return done(false);
  const std::uint64_t ack_id = next_ack_id_++;
  const cluster::Reports message{ack_id, {{report, base::Duration::zero()}}, {}};
  acceptor_->Broadcast(cluster::NodeRole::kEntry, cluster::Reports{0, message.reports, {}});
  drains_[ack_id] = {0, base::MonotonicNow() + kDrainTimeout, std::move(done)};
  replica_links_->Broadcast(message);
  StoreDeparture(report, [this, ack_id] { CountDrainAck(ack_id); });
}

void ControlNode::ExpireDrains(base::MonotonicTime now) {
  std::vector<std::function<void(bool)>> failed;
  std::erase_if(drains_, [&](auto& item) {
    if (now < item.second.deadline) return false;
    failed.push_back(std::move(item.second.done));
    return true;
  });
  for (const auto& done : failed) {
    logging::Write(Level::kWarning, "drain_not_spread",
                   "no majority of replicas acknowledged the drain in time");
    done(false);
  }
}

void ControlNode::SendHeartbeats() {
  const cluster::Heartbeats heartbeats{std::exchange(unsent_heartbeats_, {})};
  if (!heartbeats.heartbeats.empty()) replica_links_->Broadcast(heartbeats);
}

// A run is unknown when the replica that received its announcement ended before it had sent it to
// all others.
void ControlNode::HandleHeartbeats(const cluster::Session& session,
                                   const cluster::Heartbeats& message) {
  const auto now = base::MonotonicNow();
  bool unknown = false;
  for (const auto& heartbeat : message.heartbeats) {
    upstreams_.ApplyHeartbeat(heartbeat.id, heartbeat.started_unix_ms, heartbeat.sequence, now);
    const auto run = upstreams_.RunOf(heartbeat.id);
    unknown = unknown || !run || *run < heartbeat.started_unix_ms;
  }
  if (unknown) RequestReports(session.hello.cluster_address, now);
}

void ControlNode::RequestReports(const std::string& replica, base::MonotonicTime now) {
  auto& requested_at = reports_requested_at_[replica];
  if (now - requested_at < kReportsRequestInterval) return;
  if (replica_links_->Send(replica, MakeReportsRequest(upstreams_))) requested_at = now;
}

cluster::Reports ControlNode::AllReports() const {
  cluster::Reports all;
  const auto now = base::MonotonicNow();
  for (const auto& [id, known] : upstreams_.all()) {
    all.reports.push_back(MakeAgedReport(known, now));
  }
  return all;
}

cluster::Reports ControlNode::LeavingReports() const {
  auto leaving = AllReports();
  std::erase_if(leaving.reports,
                [](const auto& aged) { return aged.report.state == upstreams::State::kReady; });
  return leaving;
}

}  // namespace wagtailpick::node
