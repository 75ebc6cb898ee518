#include "node/entry_node.h"

#include <algorithm>
#include <utility>

#include "logging/log.h"
#include "node/metrics_page.h"

namespace wagtailpick::node {
namespace {

using logging::Level;

constexpr std::chrono::milliseconds kTick{200};
constexpr base::Duration kSlowTick = std::chrono::seconds(1);
/// All entries have to eject a slow upstream within about 2 s.
constexpr base::Duration kObservationInterval = std::chrono::milliseconds(400);
/// Share of the VM's bandwidth that catalog transfers may use; the rest is left to requests.
constexpr double kCatalogLinkFraction = 0.5;
/// Share of the VM's memory for the bodies of requests and answers. The rest is for everything else
/// (10 to 40 MB), for bytes that are not read yet, and for a buffer that is copied while it grows.
constexpr double kMessageMemoryFraction = 0.65;
constexpr base::Duration kForgetUpstreamAfter = std::chrono::seconds(60);

}  // namespace

base::Result<std::unique_ptr<EntryNode>> EntryNode::Start(asio::io_context& loop,
                                                          const EntryOptions& options,
                                                          Hooks hooks) {
  std::unique_ptr<EntryNode> node(new EntryNode(loop, options, std::move(hooks)));
  BOOST_OUTCOME_TRY(node->Listen());
  node->Tick();
  return node;
}

EntryNode::EntryNode(asio::io_context& loop, const EntryOptions& options, Hooks hooks)
    : loop_(loop),
      options_(options),
      hooks_(std::move(hooks)),
      memory_(std::make_shared<base::MemoryBudget>(
          base::ScaleBytes(options.node.memory_bytes, kMessageMemoryFraction))),
      timer_(loop),
      loop_delay_(kTick, base::MonotonicNow()),
      loop_watch_(kTick, metrics_),
      catalog_fetcher_(static_cast<std::uint64_t>(
          static_cast<double>(options.node.link_bytes_per_second) * kCatalogLinkFraction)),
      catalog_timer_(loop),
      roster_(options.node.vm),
      upstream_sync_(routing_state_.upstreams),
      network_(options.node.data_centre, options.node.regions) {
  relay::RelayOptions relay_options;
  relay_options.vm = options.node.vm;
  relay_options.data_centre = options.node.data_centre;
  relay_options.regions = options.node.regions;
  relay_options.cold_bound = options.cold_bound;
  relay_options.retry_bound = options.retry_bound;
  relay_options.memory = memory_;
  relay_ = std::make_unique<relay::Relay>(loop_, relay_options, hooks_.dialect, routing_state_,
                                          metrics_);
  replica_links_ = std::make_unique<ReplicaLinks>(loop_, options_.node, std::string(), LinkHooks());
  relay_->token_requests().set_sender(
      [this](const limits::TokenRequest& request) { return SendTokenRequest(request); });
}

base::Result<void> EntryNode::Listen() {
  BOOST_OUTCOME_TRY(callers, net::HttpListener::Start(
                                 loop_, options_.callers,
                                 [this](std::shared_ptr<net::InboundRequest> inbound) {
                                   relay_->Handle(std::move(inbound));
                                 },
                                 [this] { return CallerPolicy(); }));
  callers_listener_ = std::move(callers);
  callers_listener_->set_on_refused_for_memory(
      [this](const http::Request& head) { relay_->RecordRefusedForMemory(head); });
  callers_listener_->set_on_unread(
      [this](const net::UnreadRequest& request) { relay_->RecordUnread(request); });
  BOOST_OUTCOME_TRY(readiness,
                    net::HttpListener::Start(loop_, options_.readiness, hooks_.serve_readiness,
                                             [] { return net::ServerPolicy(); }));
  readiness_listener_ = std::move(readiness);
  BOOST_OUTCOME_TRY(metrics, ServeMetrics(loop_, options_.node.metrics, metrics_));
  metrics_listener_ = std::move(metrics);
  return base::Ok();
}

net::ServerPolicy EntryNode::CallerPolicy() const {
  net::ServerPolicy policy;
  policy.close_after_answer = drain_ != nullptr;
  policy.memory = memory_;
  if (routing_state_.catalog == nullptr) return policy;
  const auto& limits = routing_state_.catalog->limits();
  policy.message = {limits.max_header_bytes, limits.max_body_bytes};
  policy.header_timeout = limits.header_timeout;
  policy.idle_timeout = limits.idle_timeout;
  return policy;
}

ReplicaLinks::Hooks EntryNode::LinkHooks() {
  ReplicaLinks::Hooks hooks;
  hooks.hello = [this] {
    return cluster::Hello{cluster::NodeRole::kEntry,        options_.node.vm,
                          options_.node.data_centre,        std::string(),
                          base::ToString(options_.callers), 0};
  };
  hooks.ping = [this](const std::string& replica) {
    return cluster::Ping{ready(), replica == followed_, orders_index_, catalog_fetcher_.version()};
  };
  // The first reachable replica is followed at once, to be ready sooner after a start; the next
  // tick switches to a nearer one.
  hooks.up = [this](const std::string& replica) {
    if (followed_.empty()) return ChooseFollowedReplica();
    // Messages that were sent while the link was down are lost.
    if (replica == followed_) SendSharedState();
  };
  hooks.down = [this](const std::string& replica) {
    catalog_fetcher_.HandleReplicaLost(replica);
    RequestCatalog(base::MonotonicNow());
  };
  hooks.message = [this](const std::string& replica, const cluster::Message& message) {
    HandleMessage(replica, message);
  };
  return hooks;
}

void EntryNode::Tick() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](asio::error_code error) {
    if (!error) Tick();
  });
  const auto now = base::MonotonicNow();
  loop_delay_.RecordTick(now);
  loop_watch_.RecordTick(now);
  replica_links_->Tick(now);
  ChooseFollowedReplica();
  RequestCatalog(now);
  if (now >= observations_due_) SendObservations(now);
  SendSuspects(relay_->crash_guard().ConsumeChanges());
  SendLeaving(relay_->ConsumeLeavingReports());
  SendLimits(relay_->ConsumeLimitChanges());
  if (now >= slow_tick_due_) {
    slow_tick_due_ = now + kSlowTick;
    relay_->Tick(now);
    // Silence is counted up to the last sign of any upstream: an entry that hears from none is cut
    // off itself and must keep them all.
    const auto last_seen = routing_state_.upstreams.last_received_at();
    for (const auto& id : routing_state_.upstreams.Expire(kForgetUpstreamAfter, last_seen)) {
      logging::Write(Level::kInfo, "upstream_forgotten", id);
    }
    if (roster_.Expire(now) && roster_.is_known()) relay_->SetEntries(roster_.names());
    UpdateGauges(now);
  }
  if (drain_) drain_->Check(now);
}

// Only the nearest replica sends reports of all upstreams to this entry: reports from every replica
// would make up most of the traffic between regions. All replicas report upstreams that leave.
void EntryNode::ChooseFollowedReplica() {
  const std::string nearest = replica_links_->Nearest(network_, options_.node.vm);
  if (nearest == followed_) return;
  logging::Write(Level::kInfo, "followed_replica_changed", nearest, {{"before", followed_}});
  followed_ = nearest;
  replica_links_->PingAll();
  replica_links_->Send(followed_, upstream_sync_.StartFollowing());
  SendSharedState();
}

// The followed replica, and through it the others, may lack what this entry reported while it was
// not connected.
void EntryNode::SendSharedState() {
  SendSuspects(relay_->crash_guard().reports());
  SendLimits(relay_->limits().table().reports(base::MonotonicNow()));
}

void EntryNode::UpdateGauges(base::MonotonicTime now) {
  const auto version = routing_state_.catalog == nullptr ? 0 : routing_state_.catalog->version();
  metrics_.GaugeAt("wagtailpick_catalog_version").Set(static_cast<std::int64_t>(version));
  metrics_.GaugeAt("wagtailpick_replicas_reached")
      .Set(static_cast<std::int64_t>(replica_links_->up_count()));
  metrics_.GaugeAt("wagtailpick_upstreams_known")
      .Set(static_cast<std::int64_t>(routing_state_.upstreams.all().size()));
  metrics_.GaugeAt("wagtailpick_upstreams_spared")
      .Set(static_cast<std::int64_t>(routing_state_.shared.ejected_count(now)));
  metrics_.GaugeAt("wagtailpick_requests_suspect")
      .Set(static_cast<std::int64_t>(relay_->crash_guard().size()));
  metrics_.GaugeAt("wagtailpick_upstreams_limited")
      .Set(static_cast<std::int64_t>(relay_->limits().table().in_force()));
  SetMemoryGauges(*memory_, metrics_);
  metrics_.GaugeAt("wagtailpick_request_handler_failures")
      .Set(static_cast<std::int64_t>(callers_listener_->handler_failures() +
                                     readiness_listener_->handler_failures()));
  metrics_.GaugeAt("wagtailpick_requests_running")
      .Set(static_cast<std::int64_t>(relay_->running()));
}

void EntryNode::HandleMessage(const std::string& replica, const cluster::Message& message) {
  if (const auto* reports = std::get_if<cluster::Reports>(&message)) return HandleReports(*reports);
  if (const auto* liveness = std::get_if<cluster::UpstreamLiveness>(&message)) {
    return HandleLiveness(replica, *liveness);
  }
  if (const auto* summary = std::get_if<cluster::OrderSummary>(&message)) {
    return HandleOrderSummary(replica, *summary);
  }
  if (const auto* piece = std::get_if<cluster::CatalogPiece>(&message)) {
    return HandleCatalogPiece(replica, *piece);
  }
  if (const auto* suspects = std::get_if<cluster::Suspects>(&message)) {
    return relay_->crash_guard().Merge(suspects->reports);
  }
  if (const auto* limits = std::get_if<cluster::LimitReports>(&message)) {
    return relay_->MergeLimits(limits->reports);
  }
  if (const auto* answer = std::get_if<cluster::TokenAnswer>(&message)) {
    return relay_->token_requests().HandleAnswer(*answer);
  }
  if (const auto* names = std::get_if<cluster::EntryNames>(&message)) {
    if (replica == followed_) ApplyEntryNames(*names);
    return;
  }
  if (const auto* conditions = std::get_if<cluster::Conditions>(&message)) {
    if (replica == followed_) ApplyConditions(*conditions);
  }
}

void EntryNode::HandleReports(const cluster::Reports& reports) {
  const auto now = base::MonotonicNow();
  std::vector<upstreams::UpstreamReport> missed_leaves;
  for (const auto& aged : reports.reports) {
    const auto& report = aged.report;
    const auto* known = routing_state_.upstreams.Find(report.id);
    const bool restarted =
        known != nullptr && known->report.started_unix_ms < report.started_unix_ms;
    const auto change = routing_state_.upstreams.Apply(report, aged.age, now);
    // The run announced its leaving in an answer to this entry, but the replica does not know that.
    if (change == upstreams::Change::kStale && known != nullptr &&
        known->report.started_unix_ms == report.started_unix_ms &&
        known->report.state == upstreams::State::kLeft && report.state != upstreams::State::kLeft) {
      missed_leaves.push_back(known->report);
    }
    if (change != upstreams::Change::kChanged) continue;
    logging::Write(Level::kInfo, "upstream_changed", report.id,
                   {{"state", std::string(upstreams::ToString(report.state))},
                    {"service", report.service},
                    {"address", report.address},
                    {"sequence", std::to_string(report.sequence)},
                    {"age_ms", std::to_string(aged.age.count() / 1'000)},
                    {"cold_left_ms", std::to_string(report.cold_left.count() / 1'000)}});
    relay_->crash_guard().HandleRunStart(report.address, report.started_unix_ms);
    const bool gone = report.state == upstreams::State::kLeft;
    if (gone || restarted) relay_->DropUpstreamState(report.id, report.address, restarted);
  }
  SendLeaving(missed_leaves);
  upstream_sync_.ApplyAnswer(reports);
}

void EntryNode::HandleLiveness(const std::string& replica,
                               const cluster::UpstreamLiveness& liveness) {
  if (replica != followed_) return;
  const auto request = upstream_sync_.HandleLiveness(liveness, base::MonotonicNow());
  if (request) replica_links_->Send(replica, *request);
}

void EntryNode::HandleOrderSummary(const std::string& replica,
                                   const cluster::OrderSummary& summary) {
  if (summary.catalog_version > catalog_fetcher_.version()) {
    catalog_fetcher_.HandleOffer(replica, summary.catalog_version,
                                 replica_links_->DistanceOf(replica, network_));
    RequestCatalog(base::MonotonicNow());
  }
  if (summary.changed_index <= orders_index_) return;
  orders_index_ = summary.changed_index;
  ApplyEvacuations(summary.evacuated);
}

void EntryNode::ApplyEvacuations(const std::vector<std::string>& evacuated) {
  const std::set<std::string> now_evacuated(evacuated.begin(), evacuated.end());
  if (now_evacuated == routing_state_.evacuated) return;
  const auto now = base::MonotonicNow();
  // Upstreams of a data centre that receives requests again had none meanwhile, so their caches may
  // be cold.
  for (const auto& data_centre : routing_state_.evacuated) {
    if (now_evacuated.contains(data_centre)) continue;
    routing_state_.upstreams.MarkCold(data_centre, now + LongestColdStart());
  }
  routing_state_.evacuated = now_evacuated;
  std::string list;
  for (const auto& data_centre : now_evacuated) list += data_centre + " ";
  logging::Write(Level::kInfo, "evacuations_changed", list,
                 {{"orders_index", std::to_string(orders_index_)}});
}

base::Duration EntryNode::LongestColdStart() const {
  base::Duration longest{};
  if (routing_state_.catalog == nullptr) return longest;
  for (const auto& [name, service] : routing_state_.catalog->services()) {
    longest = std::max(longest, service.cold_start);
  }
  return longest;
}

void EntryNode::SendObservations(base::MonotonicTime now) {
  observations_due_ = now + kObservationInterval;
  cluster::Observations message{relay_->ConsumeObservations(now)};
  if (!message.observations.empty()) replica_links_->Send(followed_, message);
}

void EntryNode::SendSuspects(const std::vector<safety::SuspectReport>& reports) {
  if (!reports.empty()) replica_links_->Send(followed_, cluster::Suspects{reports});
}

void EntryNode::SendLeaving(const std::vector<upstreams::UpstreamReport>& leaving) {
  if (leaving.empty()) return;
  cluster::Reports message;
  for (const auto& report : leaving) message.reports.push_back({report, base::Duration::zero()});
  replica_links_->Send(followed_, message);
}

void EntryNode::ApplyConditions(const cluster::Conditions& message) {
  const auto now = base::MonotonicNow();
  for (const auto& condition : message.conditions) {
    if (!condition.ejected || routing_state_.shared.IsEjected(condition.upstream, now)) continue;
    logging::Write(Level::kInfo, "upstream_spared", condition.upstream,
                   {{"spared", std::to_string(routing_state_.shared.ejected_count(now))}});
  }
  routing_state_.shared.Apply(message.conditions, now);
}

void EntryNode::RequestCatalog(base::MonotonicTime now) {
  const auto next = catalog_fetcher_.NextRequest(now);
  if (next) replica_links_->Send(next->replica, next->request);
}

void EntryNode::HandleCatalogPiece(const std::string& replica, const cluster::CatalogPiece& piece) {
  const auto now = base::MonotonicNow();
  const auto fetched = catalog_fetcher_.HandlePiece(replica, piece, now);
  if (!fetched) {
    logging::Write(Level::kError, "catalog_damaged", fetched.error().message,
                   {{"replica", replica}, {"version", std::to_string(piece.key.version)}});
  } else if (fetched.value()) {
    ApplyCatalog(*fetched.value());
  }
  RequestCatalog(now);
  if (catalog_fetcher_.next_request_due() <= now) return;
  catalog_timer_.expires_after(catalog_fetcher_.next_request_due() - now);
  catalog_timer_.async_wait([this](asio::error_code error) {
    if (!error) RequestCatalog(base::MonotonicNow());
  });
}

void EntryNode::ApplyCatalog(const distribution::CatalogFetcher::FetchedCatalog& fetched) {
  const auto before = routing_state_.catalog == nullptr ? 0 : routing_state_.catalog->version();
  auto decoded = hooks_.decode_catalog(fetched.content);
  if (!decoded) {
    return logging::Write(Level::kError, "catalog_unreadable", decoded.error().message);
  }
  routing_state_.catalog = std::make_shared<const catalog::Catalog>(std::move(decoded.value()));
  logging::Write(Level::kInfo, "catalog_in_force", std::to_string(fetched.version),
                 {{"before", std::to_string(before)},
                  {"routes", std::to_string(routing_state_.catalog->routes().size())}});
}

void EntryNode::ApplyEntryNames(const cluster::EntryNames& names) {
  roster_.Apply(names, base::MonotonicNow());
  if (roster_.is_known()) relay_->SetEntries(roster_.names());
}

void EntryNode::Drain(std::function<void()> done) {
  if (drain_) return;
  const auto signalled_at = loop_delay_.EarliestArrival(base::MonotonicNow());
  const EntryDrain::Listeners listeners{*callers_listener_, *readiness_listener_};
  drain_ = std::make_unique<EntryDrain>(loop_, signalled_at, options_.grace, *relay_, listeners,
                                        std::move(done));
  replica_links_->PingAll();
}

void EntryNode::SetSeeds(const std::vector<base::Endpoint>& seeds) {
  replica_links_->SetSeeds(seeds, options_.node.cluster_port);
}

}  // namespace wagtailpick::node
