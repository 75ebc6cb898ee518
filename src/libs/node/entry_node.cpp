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
/// A slow upstream is to be spared by all entries within about two seconds.
constexpr base::Duration kObservationInterval = std::chrono::milliseconds(400);
/// Part of the VM's link that transfers of the catalog may take; the rest is left to requests.
constexpr double kCatalogPartOfLink = 0.5;
constexpr base::Duration kForgetUpstream = std::chrono::seconds(60);
/// Callers hold directory answers for some seconds; until then they are still served.
constexpr base::Duration kServeWhileDraining = std::chrono::milliseconds(3'200);
/// No caller has connected for this long before the process ends.
constexpr base::Duration kQuietBeforeEnd = std::chrono::milliseconds(400);
/// Left of the grace time for the process to end.
constexpr base::Duration kGraceMargin = std::chrono::milliseconds(300);

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
      timer_(loop),
      catalog_fetch_(static_cast<std::uint64_t>(
          static_cast<double>(options.node.link_bytes_per_second) * kCatalogPartOfLink)),
      catalog_timer_(loop),
      roster_(options.node.vm),
      upstream_sync_(beliefs_.upstreams),
      network_(options.node.data_centre, options.node.regions) {
  relay::RelayOptions relay_options;
  relay_options.vm = options.node.vm;
  relay_options.data_centre = options.node.data_centre;
  relay_options.regions = options.node.regions;
  relay_options.cold_bound = options.cold_bound;
  relay_options.retry_bound = options.retry_bound;
  relay_ = std::make_unique<relay::Relay>(loop_, relay_options, hooks_.dialect, beliefs_, metrics_);
  mesh_ = std::make_unique<Mesh>(loop_, options_.node, std::string(), MeshHooks());
}

base::Result<void> EntryNode::Listen() {
  BOOST_OUTCOME_TRY(callers, net::HttpListener::Start(
                                 loop_, options_.callers,
                                 [this](std::shared_ptr<net::InboundRequest> inbound) {
                                   relay_->Handle(std::move(inbound));
                                 },
                                 [this] { return CallerPolicy(); }));
  callers_listener_ = std::move(callers);
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
  policy.closing = draining_;
  if (beliefs_.catalog == nullptr) return policy;
  const auto& limits = beliefs_.catalog->limits();
  policy.message = {limits.max_header_bytes, limits.max_body_bytes};
  policy.header_timeout = limits.header_timeout;
  policy.idle_timeout = limits.idle_timeout;
  return policy;
}

Mesh::Hooks EntryNode::MeshHooks() {
  Mesh::Hooks hooks;
  hooks.hello = [this] {
    return cluster::Hello{cluster::NodeRole::kEntry,        options_.node.vm,
                          options_.node.data_centre,        std::string(),
                          base::ToString(options_.callers), 0};
  };
  hooks.ping = [this](const std::string& replica) {
    return cluster::Ping{ready(), replica == followed_, orders_index_, catalog_fetch_.version()};
  };
  // After a start each tick counts; a nearer replica is followed once it is reached.
  hooks.up = [this](const std::string& replica) {
    if (followed_.empty()) return ChooseFollowed();
    // What was sent while the link was down is lost.
    if (replica == followed_) SendSuspects(relay_->crashes().reports());
  };
  hooks.down = [this](const std::string& replica) {
    catalog_fetch_.HandleReplicaLost(replica);
    RequestCatalog(base::MonotonicNow());
  };
  hooks.message = [this](const std::string& replica, const cluster::Message& message) {
    TakeMessage(replica, message);
  };
  return hooks;
}

void EntryNode::Tick() {
  const auto now = base::MonotonicNow();
  mesh_->Tick(now);
  ChooseFollowed();
  RequestCatalog(now);
  if (now >= observations_due_) SendObservations(now);
  SendSuspects(relay_->crashes().TakeChanges());
  SendLeaving(relay_->TakeLeaving());
  if (now >= slow_tick_due_) {
    slow_tick_due_ = now + kSlowTick;
    relay_->Tick(now);
    // An entry that hears of no upstream is cut off itself and forgets none.
    const auto heard_at = beliefs_.upstreams.heard_any_at();
    for (const auto& id : beliefs_.upstreams.Expire(kForgetUpstream, heard_at)) {
      logging::Write(Level::kInfo, "upstream_forgotten", id);
    }
    if (roster_.Expire(now)) relay_->SetEntries(roster_.names());
    UpdateGauges(now);
  }
  if (draining_) CheckDrain(now);
  timer_.expires_after(kTick);
  timer_.async_wait([this](asio::error_code error) {
    if (!error) Tick();
  });
}

// All upstreams are reported by one replica, the nearest, as reports from each of them would be
// most of the traffic between regions. Upstreams that leave are reported by all.
void EntryNode::ChooseFollowed() {
  const std::string nearest = mesh_->Nearest(network_, options_.node.vm);
  if (nearest == followed_) return;
  logging::Write(Level::kInfo, "followed_replica_changed", nearest, {{"before", followed_}});
  followed_ = nearest;
  mesh_->PingAll();
  mesh_->Send(followed_, upstream_sync_.Restart());
  SendSuspects(relay_->crashes().reports());
}

void EntryNode::UpdateGauges(base::MonotonicTime /*now*/) {
  const auto version = beliefs_.catalog == nullptr ? 0 : beliefs_.catalog->version();
  metrics_.GaugeAt("wagtailpick_catalog_version").Set(static_cast<std::int64_t>(version));
  metrics_.GaugeAt("wagtailpick_replicas_reached")
      .Set(static_cast<std::int64_t>(mesh_->up_count()));
  metrics_.GaugeAt("wagtailpick_upstreams_known")
      .Set(static_cast<std::int64_t>(beliefs_.upstreams.all().size()));
  metrics_.GaugeAt("wagtailpick_upstreams_spared")
      .Set(static_cast<std::int64_t>(beliefs_.shared.spared_count()));
  metrics_.GaugeAt("wagtailpick_requests_suspect")
      .Set(static_cast<std::int64_t>(relay_->crashes().size()));
  metrics_.GaugeAt("wagtailpick_requests_running")
      .Set(static_cast<std::int64_t>(relay_->running()));
}

void EntryNode::TakeMessage(const std::string& replica, const cluster::Message& message) {
  if (const auto* reports = std::get_if<cluster::Reports>(&message)) return TakeReports(*reports);
  if (const auto* heard = std::get_if<cluster::UpstreamsHeard>(&message)) {
    return TakeHeard(replica, *heard);
  }
  if (const auto* summary = std::get_if<cluster::OrderSummary>(&message)) {
    return TakeSummary(replica, *summary);
  }
  if (const auto* piece = std::get_if<cluster::CatalogPiece>(&message)) {
    return TakePiece(replica, *piece);
  }
  if (const auto* suspects = std::get_if<cluster::Suspects>(&message)) {
    return relay_->crashes().Merge(suspects->reports);
  }
  if (const auto* names = std::get_if<cluster::EntryNames>(&message)) {
    if (replica == followed_) TakeEntries(*names);
    return;
  }
  if (const auto* conditions = std::get_if<cluster::Conditions>(&message)) {
    if (replica == followed_) TakeConditions(*conditions);
  }
}

void EntryNode::TakeReports(const cluster::Reports& reports) {
  const auto now = base::MonotonicNow();
  std::vector<upstreams::UpstreamReport> unheard;
  for (const auto& aged : reports.reports) {
    const auto& report = aged.report;
    const auto* known = beliefs_.upstreams.Find(report.id);
    const bool restarted =
        known != nullptr && known->report.started_unix_ms < report.started_unix_ms;
    const auto change = beliefs_.upstreams.Apply(report, aged.age, now);
    // The replica hasn't heard that this run leaves, as its answer said.
    if (change == upstreams::Change::kStale && known != nullptr &&
        known->report.started_unix_ms == report.started_unix_ms &&
        known->report.state == upstreams::State::kLeft && report.state != upstreams::State::kLeft) {
      unheard.push_back(known->report);
    }
    if (change != upstreams::Change::kChanged) continue;
    logging::Write(Level::kInfo, "upstream_changed", report.id,
                   {{"state", std::string(upstreams::ToString(report.state))},
                    {"service", report.service},
                    {"address", report.address},
                    {"sequence", std::to_string(report.sequence)},
                    {"age_ms", std::to_string(aged.age.count() / 1'000)},
                    {"cold_left_ms", std::to_string(report.cold_left.count() / 1'000)}});
    relay_->crashes().NoteStart(report.address, report.started_unix_ms);
    const bool gone = report.state == upstreams::State::kLeft;
    if (gone || restarted) relay_->ForgetUpstream(report.id, report.address, restarted);
  }
  SendLeaving(unheard);
  upstream_sync_.TakeAnswer(reports);
}

void EntryNode::TakeHeard(const std::string& replica, const cluster::UpstreamsHeard& heard) {
  if (replica != followed_) return;
  const auto request = upstream_sync_.Take(heard, base::MonotonicNow());
  if (request) mesh_->Send(replica, *request);
}

void EntryNode::TakeSummary(const std::string& replica, const cluster::OrderSummary& summary) {
  if (summary.catalog_version > catalog_fetch_.version()) {
    catalog_fetch_.HandleOffer(replica, summary.catalog_version,
                               mesh_->DistanceOf(replica, network_));
    RequestCatalog(base::MonotonicNow());
  }
  if (summary.changed_index <= orders_index_) return;
  orders_index_ = summary.changed_index;
  TakeEvacuations(summary.evacuated);
}

void EntryNode::TakeEvacuations(const std::vector<std::string>& evacuated) {
  const std::set<std::string> now_evacuated(evacuated.begin(), evacuated.end());
  if (now_evacuated == beliefs_.evacuated) return;
  const auto now = base::MonotonicNow();
  // Upstreams of a data centre that takes requests again have had no work and may be cold.
  for (const auto& data_centre : beliefs_.evacuated) {
    if (now_evacuated.contains(data_centre)) continue;
    beliefs_.upstreams.Chill(data_centre, now + LongestColdStart());
  }
  beliefs_.evacuated = now_evacuated;
  std::string list;
  for (const auto& data_centre : now_evacuated) list += data_centre + " ";
  logging::Write(Level::kInfo, "evacuations_changed", list,
                 {{"orders_index", std::to_string(orders_index_)}});
}

base::Duration EntryNode::LongestColdStart() const {
  base::Duration longest{};
  if (beliefs_.catalog == nullptr) return longest;
  for (const auto& [name, service] : beliefs_.catalog->services()) {
    longest = std::max(longest, service.cold_start);
  }
  return longest;
}

void EntryNode::SendObservations(base::MonotonicTime now) {
  observations_due_ = now + kObservationInterval;
  cluster::Observations message{relay_->TakeObservations(now)};
  if (!message.observations.empty()) mesh_->Send(followed_, message);
}

void EntryNode::SendSuspects(const std::vector<safety::SuspectReport>& reports) {
  if (!reports.empty()) mesh_->Send(followed_, cluster::Suspects{reports});
}

void EntryNode::SendLeaving(const std::vector<upstreams::UpstreamReport>& leaving) {
  if (leaving.empty()) return;
  cluster::Reports message;
  for (const auto& report : leaving) message.reports.push_back({report, base::Duration::zero()});
  mesh_->Send(followed_, message);
}

void EntryNode::TakeConditions(const cluster::Conditions& message) {
  const auto now = base::MonotonicNow();
  for (const auto& condition : message.conditions) {
    if (!condition.spared || beliefs_.shared.IsSpared(condition.upstream, now)) continue;
    logging::Write(Level::kInfo, "upstream_spared", condition.upstream,
                   {{"spared", std::to_string(beliefs_.shared.spared_count())}});
  }
  beliefs_.shared.Take(message.conditions, now);
}

void EntryNode::RequestCatalog(base::MonotonicTime now) {
  const auto next = catalog_fetch_.NextRequest(now);
  if (next) mesh_->Send(next->replica, next->request);
}

void EntryNode::TakePiece(const std::string& replica, const cluster::CatalogPiece& piece) {
  const auto now = base::MonotonicNow();
  const auto arrival = catalog_fetch_.HandlePiece(replica, piece, now);
  if (!arrival) {
    logging::Write(Level::kError, "catalog_damaged", arrival.error().message,
                   {{"replica", replica}, {"version", std::to_string(piece.key.version)}});
  } else if (arrival.value()) {
    TakeCatalog(*arrival.value());
  }
  RequestCatalog(now);
  if (catalog_fetch_.next_request_due() <= now) return;
  catalog_timer_.expires_after(catalog_fetch_.next_request_due() - now);
  catalog_timer_.async_wait([this](asio::error_code error) {
    if (!error) RequestCatalog(base::MonotonicNow());
  });
}

void EntryNode::TakeCatalog(const distribution::CatalogFetcher::FetchedCatalog& arrival) {
  const auto before = beliefs_.catalog == nullptr ? 0 : beliefs_.catalog->version();
  auto decoded = hooks_.decode_catalog(arrival.content);
  if (!decoded) {
    return logging::Write(Level::kError, "catalog_unreadable", decoded.error().message);
  }
  beliefs_.catalog = std::make_shared<const catalog::Catalog>(std::move(decoded.value()));
  logging::Write(Level::kInfo, "catalog_in_force", std::to_string(arrival.version),
                 {{"before", std::to_string(before)},
                  {"routes", std::to_string(beliefs_.catalog->routes().size())}});
}

void EntryNode::TakeEntries(const cluster::EntryNames& names) {
  roster_.Take(names, base::MonotonicNow());
  relay_->SetEntries(roster_.names());
}

void EntryNode::Drain(std::function<void()> done) {
  if (draining_) return;
  draining_ = true;
  drain_started_ = base::MonotonicNow();
  drained_ = std::move(done);
  logging::Write(Level::kInfo, "drain_started", "no new callers are sent here",
                 {{"running", std::to_string(relay_->running())}});
  mesh_->PingAll();
}

void EntryNode::CheckDrain(base::MonotonicTime now) {
  const auto since = now - drain_started_;
  if (since < kServeWhileDraining) return;
  relay_->RefuseNew();
  callers_listener_->CloseIdle();
  const bool out_of_time = since > options_.grace - kGraceMargin;
  // A request that was just accepted, and an answer that is still on its way out, end before the
  // process does.
  const bool quiet = relay_->running() == 0 && callers_listener_->busy_count() == 0 &&
                     now - callers_listener_->last_accepted() > kQuietBeforeEnd;
  if (!quiet && !out_of_time) return;
  logging::Write(Level::kInfo, "drain_ended", out_of_time ? "out of time" : "no request is left",
                 {{"running", std::to_string(relay_->running())}});
  const auto done = std::exchange(drained_, nullptr);
  if (done) done();
}

void EntryNode::LearnSeeds(const std::vector<base::Endpoint>& seeds) {
  mesh_->LearnSeeds(seeds, options_.node.cluster_port);
}

}  // namespace wagtailpick::node
