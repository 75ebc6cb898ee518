#include "node/control_node.h"

#include <algorithm>
#include <asio/post.hpp>
#include <iterator>
#include <utility>

#include "base/printable_text.h"
#include "logging/log.h"
#include "node/metrics_page.h"
#include "node/upstream_sync.h"
#include "relay/crash_guard.h"

namespace wagtailpick::node {
namespace {

using logging::Level;

constexpr std::chrono::milliseconds kTick{150};
/// Silent upstreams are removed after this time, which is longer than an announcement can be
/// delayed: a delayed one cannot add a removed upstream again.
constexpr base::Duration kForgetUpstreamAfter = std::chrono::seconds(60);
/// Largest body of an order or announcement: a catalog of about 35,000 routes. Decoding one takes
/// about ten times its size.
constexpr std::size_t kMaxOrderBytes = 8UL * 1024 * 1024;
/// Share of the VM's memory for the bodies of orders that arrive or wait for their outcome. Each is
/// copied several times on its way into the log.
constexpr double kOrderMemoryFraction = 0.1;
constexpr base::Duration kCacheInterval = std::chrono::milliseconds(500);
/// Calls of operators and upstreams are answered within a second, or tried elsewhere.
constexpr base::Duration kMaxDrainTime = std::chrono::seconds(1);
constexpr base::Duration kDrainCheckInterval = std::chrono::milliseconds(20);
constexpr base::Duration kLivenessInterval = std::chrono::seconds(1);
/// Entries connect to a replica that has just started within this time.
constexpr base::Duration kStartupDelay = std::chrono::milliseconds(800);

}  // namespace

base::Result<std::unique_ptr<ControlNode>> ControlNode::Start(asio::io_context& loop,
                                                              const ControlOptions& options,
                                                              Hooks hooks) {
  std::unique_ptr<ControlNode> node(new ControlNode(loop, options, std::move(hooks)));
  BOOST_OUTCOME_TRY(node->Open());
  return node;
}

ControlNode::ControlNode(asio::io_context& loop, const ControlOptions& options, Hooks hooks)
    : loop_(loop),
      options_(options),
      hooks_(std::move(hooks)),
      self_(base::ToString({options.node.ip, options.node.cluster_port})),
      started_at_(base::MonotonicNow()),
      memory_(std::make_shared<base::MemoryBudget>(
          base::ScaleBytes(options.node.memory_bytes, kOrderMemoryFraction))),
      suspects_(relay::CrashLimits()),
      cache_(options.data_folder + "/cache"),
      departures_(options.data_folder + "/departures"),
      timer_(loop),
      loop_watch_(kTick, metrics_),
      drain_timer_(loop),
      alive_(std::make_shared<bool>(true)) {}

ControlNode::~ControlNode() { *alive_ = false; }

base::Result<void> ControlNode::Open() {
  LoadCache();
  BOOST_OUTCOME_TRY(OpenLog());
  replica_links_ = std::make_unique<ReplicaLinks>(loop_, options_.node, self_, LinkHooks());
  BOOST_OUTCOME_TRY(Listen());
  Tick();
  return base::Ok();
}

base::Result<void> ControlNode::OpenLog() {
  OrderLog::Options log_options;
  log_options.folder = options_.data_folder;
  log_options.self = self_;
  const auto& seeds = options_.node.seeds;
  log_options.create_group =
      options_.first_start && !seeds.empty() && seeds.front() == options_.orders;
  // The hooks run on the log's thread and post their work to the loop. Tasks that run after this
  // node was destroyed do nothing.
  const auto on_loop = [this, alive = alive_](auto task) {
    asio::post(loop_, [alive, task = std::move(task)] {
      if (*alive) task();
    });
  };
  OrderLog::Hooks hooks;
  hooks.changed = [this, on_loop](const orders::OrderState& state) {
    on_loop([this, state] { ApplyOrderState(state); });
  };
  hooks.members = [this, on_loop](const consensus::Membership& members) {
    on_loop([this, members] { ApplyMembership(members); });
  };
  hooks.send = [this, on_loop](const std::string& to,
                               const std::vector<consensus::Message>& messages) {
    on_loop([this, to, messages] { replica_links_->Send(to, cluster::Consensus{messages}); });
  };
  BOOST_OUTCOME_TRY(log, OrderLog::Start(log_options, std::move(hooks)));
  log_ = std::move(log);
  return base::Ok();
}

base::Result<void> ControlNode::Listen() {
  const base::Endpoint links{options_.node.ip, options_.node.cluster_port};
  BOOST_OUTCOME_TRY(acceptor, cluster::Acceptor::Start(loop_, links, SessionHooks()));
  acceptor_ = std::move(acceptor);
  const auto policy = [this] { return OrdersPolicy(); };
  BOOST_OUTCOME_TRY(orders_listener,
                    net::HttpListener::Start(loop_, options_.orders, hooks_.serve_orders, policy));
  orders_listener_ = std::move(orders_listener);
  if (options_.directory != options_.orders) {
    BOOST_OUTCOME_TRY(directory, net::HttpListener::Start(loop_, options_.directory,
                                                          hooks_.serve_directory, policy));
    directory_listener_ = std::move(directory);
  }
  BOOST_OUTCOME_TRY(metrics, ServeMetrics(loop_, options_.node.metrics, metrics_));
  metrics_listener_ = std::move(metrics);
  return base::Ok();
}

net::ServerPolicy ControlNode::OrdersPolicy() const {
  net::ServerPolicy policy;
  policy.message.max_body_bytes = kMaxOrderBytes;
  policy.memory = memory_;
  policy.close_after_answer = draining_;
  return policy;
}

ReplicaLinks::Hooks ControlNode::LinkHooks() {
  ReplicaLinks::Hooks hooks;
  hooks.hello = [this] {
    return cluster::Hello{cluster::NodeRole::kReplica,     options_.node.vm,
                          options_.node.data_centre,       self_,
                          base::ToString(options_.orders), log_->incarnation()};
  };
  hooks.ping = [](const std::string&) { return cluster::Ping{}; };
  // Either process may have just started, so this one requests the reports that it lacks and sends
  // all its suspects; the other one does the same over its own link. The answer to the request
  // shows which reports the other one lacks.
  hooks.up = [this](const std::string& replica) {
    reports_requested_at_.erase(replica);
    RequestReports(replica, base::MonotonicNow());
    const cluster::Suspects suspects{suspects_.reports(base::WallNowMillis())};
    if (!suspects.reports.empty()) replica_links_->Send(replica, suspects);
    const cluster::LimitReports limits{limits_.reports(base::MonotonicNow())};
    if (!limits.reports.empty()) replica_links_->Send(replica, limits);
  };
  hooks.down = [](const std::string&) {};
  hooks.message = [this](const std::string& replica, const cluster::Message& message) {
    HandleReplicaMessage(replica, message);
  };
  return hooks;
}

void ControlNode::Tick() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](asio::error_code error) {
    if (!error) Tick();
  });
  const auto now = base::MonotonicNow();
  loop_watch_.RecordTick(now);
  replica_links_->Tick(now);
  acceptor_->Tick(now);
  ExpireDrains(now);
  SendHeartbeats();
  if (std::exchange(entries_changed_, false)) SendEntryChanges();
  SendEntryLists(now);
  if (now >= liveness_due_) {
    liveness_due_ = now + kLivenessInterval;
    acceptor_->BroadcastToFollowers(MakeLiveness(upstreams_, now));
    RemoveOldLimits(now);
    UpdateGauges();
  }
  SendConditions(now);
  SendTokensIssued();
  UpdateLogPeers(now);
  SaveCache(now);
  for (const auto& id : upstreams_.Expire(kForgetUpstreamAfter, now)) {
    logging::Write(Level::kInfo, "upstream_forgotten", id);
    stored_departures_.erase(id);
  }
}

// An order that was accepted and not yet acknowledged would leave its operator without an answer.
void ControlNode::Drain(std::function<void()> done) {
  if (draining_) return;
  draining_ = true;
  on_drained_ = std::move(done);
  orders_listener_->CloseIdle();
  if (directory_listener_ != nullptr) directory_listener_->CloseIdle();
  CheckDrain(base::MonotonicNow() + kMaxDrainTime);
}

void ControlNode::CheckDrain(base::MonotonicTime give_up_at) {
  auto busy = orders_listener_->busy_count();
  if (directory_listener_ != nullptr) busy += directory_listener_->busy_count();
  if (busy == 0 || base::MonotonicNow() >= give_up_at) {
    Close();
    logging::Write(Level::kInfo, "drain_ended", busy == 0 ? "no call is left" : "time is up",
                   {{"running", std::to_string(busy)}});
    return on_drained_();
  }
  drain_timer_.expires_after(kDrainCheckInterval);
  drain_timer_.async_wait([this, give_up_at](asio::error_code error) {
    if (!error) CheckDrain(give_up_at);
  });
}

// The process may live on for a moment, while its last log lines are written or the kernel waits
// for the disk. Open sockets would take connections that nobody serves.
void ControlNode::Close() {
  *alive_ = false;
  timer_.cancel();
  orders_listener_.reset();
  directory_listener_.reset();
  metrics_listener_.reset();
  acceptor_.reset();
  replica_links_.reset();
}

void ControlNode::UpdateGauges() {
  auto failures = orders_listener_->handler_failures();
  if (directory_listener_ != nullptr) failures += directory_listener_->handler_failures();
  SetMemoryGauges(*memory_, metrics_);
  metrics_.GaugeAt("wagtailpick_request_handler_failures").Set(static_cast<std::int64_t>(failures));
}

void ControlNode::LoadCache() {
  const auto cached = cache_.Load();
  if (cached) ApplyCachedState(*cached);
  // Departures are stored as they arrive, so they may be newer than the cache.
  const auto now = base::MonotonicNow();
  for (const auto& report : departures_.Load()) {
    upstreams_.Apply(report, base::Duration::zero(), now);
  }
}

void ControlNode::ApplyCachedState(const CachedState& cached) {
  state_ = cached.orders;
  catalog_source_.AddVersion(state_.catalog_version(), state_.catalog_bytes());
  const auto now = base::MonotonicNow();
  // The downtime of this process is unknown, so the reports count as new; entries find out which
  // upstreams are gone.
  for (const auto& aged : cached.reports) {
    upstreams_.Apply(aged.report, base::Duration::zero(), now);
  }
  for (const auto& report : cached.suspects) {
    suspects_.MergeWithoutForwarding(report, base::WallNowMillis());
  }
  logging::Write(Level::kInfo, "cache_loaded", "orders and upstreams of the last run",
                 {{"catalog_version", std::to_string(state_.catalog_version())},
                  {"upstreams", std::to_string(cached.reports.size())},
                  {"suspects", std::to_string(cached.suspects.size())}});
}

void ControlNode::SaveCache(base::MonotonicTime now) {
  if (!cache_outdated_ || now < cache_due_) return;
  cache_outdated_ = false;
  cache_due_ = now + kCacheInterval;
  cache_.Save({state_, AllReports().reports, suspects_.reports(base::WallNowMillis())});
}

void ControlNode::UpdateLogPeers(base::MonotonicTime now) {
  std::vector<PeerReplica> peers;
  for (const auto& replica : replica_links_->replicas()) {
    const auto incarnation = incarnations_.find(replica.cluster_address);
    peers.push_back({replica.cluster_address,
                     incarnation == incarnations_.end() ? 0 : incarnation->second,
                     replica_links_->DownFor(replica.cluster_address, now)});
  }
  log_->SetPeers(std::move(peers));
}

void ControlNode::ApplyOrderState(const orders::OrderState& state) {
  // After a start, the log replays its orders from the last snapshot; the cache may be newer.
  if (state.changed_index() <= state_.changed_index()) return;
  state_ = state;
  catalog_source_.AddVersion(state_.catalog_version(), state_.catalog_bytes());
  cache_outdated_ = true;
  acceptor_->Broadcast(cluster::NodeRole::kEntry, Summary());
}

void ControlNode::ApplyMembership(const consensus::Membership& members) {
  members_ = members;
  std::vector<cluster::ReplicaAddress> named;
  for (const auto& member : members.members()) named.push_back({member.key.name, {}, {}});
  replica_links_->AddReplicas(named);
}

std::set<std::string> ControlNode::ConnectedEntries() const {
  std::set<std::string> names;
  acceptor_->ForEach([&](const cluster::Session& session) {
    if (session.hello.role == cluster::NodeRole::kEntry) names.insert(session.hello.vm);
  });
  return names;
}

void ControlNode::SendEntryChanges() {
  const auto connected = ConnectedEntries();
  cluster::EntryNames changes;
  std::set_difference(connected.begin(), connected.end(), published_entries_.begin(),
                      published_entries_.end(), std::back_inserter(changes.added));
  std::set_difference(published_entries_.begin(), published_entries_.end(), connected.begin(),
                      connected.end(), std::back_inserter(changes.removed));
  published_entries_ = connected;
  if (changes.added.empty() && changes.removed.empty()) return;
  acceptor_->BroadcastToFollowers(changes);
}

void ControlNode::SendEntryLists(base::MonotonicTime now) {
  entry_list_gate_.Update(published_entries_.size(), now);
  if (!entry_list_gate_.IsOpen(now)) return;
  const cluster::EntryNames list{true, {published_entries_.begin(), published_entries_.end()}, {}};
  for (const auto session : std::exchange(entries_without_list_, {})) {
    acceptor_->Send(session, list);
  }
}

cluster::OrderSummary ControlNode::Summary() const {
  return {state_.changed_index(),
          state_.catalog_version(),
          {state_.evacuated().begin(), state_.evacuated().end()}};
}

std::vector<cluster::ReplicaAddress> ControlNode::KnownReplicas() const {
  auto known = replica_links_->replicas();
  known.push_back({self_, base::ToString(options_.orders), options_.node.data_centre});
  return known;
}

void ControlNode::Reply(const OrderCallback& done, OrderReply reply) {
  asio::post(loop_, [this, alive = alive_, done, reply = std::move(reply)]() mutable {
    if (!*alive) return;
    if (reply.status == OrderStatus::kRedirected) {
      reply.redirect = replica_links_->ServiceAddress(reply.redirect);
      if (reply.redirect.empty()) reply.status = OrderStatus::kUnavailable;
    }
    done(std::move(reply));
  });
}

void ControlNode::PutCatalog(const std::string& bytes, OrderCallback done) {
  const auto version = hooks_.check_catalog(bytes);
  if (!version) {
    logging::Write(Level::kWarning, "catalog_refused", version.error().message);
    return done({OrderStatus::kInvalid, {}, version.error().message, {}});
  }
  // Committing a version that is not newer than the committed one would change nothing.
  if (version.value() <= state_.catalog_version()) {
    return done({OrderStatus::kAccepted, {}, {}, {}});
  }
  log_->Submit(orders::PutCatalog{version.value(), bytes},
               [this, done = std::move(done)](OrderReply reply) { Reply(done, std::move(reply)); });
}

void ControlNode::SetEvacuation(const std::string& data_centre, bool evacuated,
                                OrderCallback done) {
  if (!options_.node.regions.contains(data_centre)) {
    return done(
        {OrderStatus::kInvalid, {}, "unknown data centre " + base::ToPrintable(data_centre), {}});
  }
  log_->Submit(orders::SetEvacuation{data_centre, evacuated},
               [this, done = std::move(done)](OrderReply reply) { Reply(done, std::move(reply)); });
}

void ControlNode::ReadCatalog(OrderCallback done) {
  log_->Read([this, done = std::move(done)](OrderReply reply) { Reply(done, std::move(reply)); });
}

std::vector<std::string> ControlNode::Lookup(const std::string& data_centre) const {
  // Right after a start, or without links to a majority, only some of the entries may be connected.
  if (base::MonotonicNow() - started_at_ < kStartupDelay) return {};
  if (members_.voter_count() > 0 && replica_links_->up_count() + 1 < Majority()) return {};
  std::vector<ReadyEntry> ready;
  acceptor_->ForEach([&](const cluster::Session& session) {
    if (session.hello.role != cluster::NodeRole::kEntry || !session.last_ping.ready) return;
    ready.push_back({session.hello.service_address, session.hello.data_centre});
  });
  return NearestEntries(ready, placement::NetworkDistance(data_centre, options_.node.regions));
}

void ControlNode::SetSeeds(const std::vector<base::Endpoint>& seeds) {
  replica_links_->SetSeeds(seeds, options_.node.cluster_port);
}

}  // namespace wagtailpick::node
