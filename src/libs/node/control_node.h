#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/result.h"
#include "cluster/acceptor.h"
#include "distribution/catalog_source.h"
#include "metrics/registry.h"
#include "net/http_listener.h"
#include "node/departure_log.h"
#include "node/lookup.h"
#include "node/node_options.h"
#include "node/order_log.h"
#include "node/order_reply.h"
#include "node/replica_links.h"
#include "node/report_answer_cache.h"
#include "node/state_cache.h"
#include "observation/merger.h"
#include "observation/shared_conditions.h"
#include "safety/suspect_table.h"
#include "upstreams/upstream_table.h"

namespace wagtailpick::node {

/// A control replica: takes operators' orders and upstreams' announcements, and tells the entries.
/// Used on one loop only.
class ControlNode {
 public:
  struct Hooks {
    /// Decodes and checks a catalog; returns its version, or fails with `kInvalidArgument`.
    std::function<base::Result<std::uint64_t>(const std::string& bytes)> check_catalog;
    /// Serves the HTTP calls of operators and upstreams.
    net::InboundHandler serve_orders;
    /// Serves the lookups of callers.
    net::InboundHandler serve_directory;
  };

  /// Recovers, listens, and joins the group. Fails when an address or the data folder can't be
  /// used.
  static base::Result<std::unique_ptr<ControlNode>> Start(asio::io_context& loop,
                                                          const ControlOptions& options,
                                                          Hooks hooks);
  ~ControlNode();
  ControlNode(const ControlNode&) = delete;
  ControlNode& operator=(const ControlNode&) = delete;

  /// Orders of operators; `done` is called once, on the loop.
  void PutCatalog(const std::string& bytes, OrderCallback done);
  void SetEvacuation(const std::string& data_centre, bool evacuated, OrderCallback done);
  void ReadCatalog(OrderCallback done);

  /// Takes an announcement. `done` gets true once it may be acknowledged: for a drain that is when
  /// a majority of replicas pass it on to their entries.
  void HandleAnnouncement(const upstreams::UpstreamReport& report, std::function<void(bool)> done);

  /// The run of an upstream that is known under `id` leaves; `done` as for `HandleAnnouncement`.
  void HandleLeave(const std::string& id, std::function<void(bool)> done);

  /// Addresses of entries for a caller in `data_centre`; empty while this replica can't tell.
  std::vector<std::string> Lookup(const std::string& data_centre) const;

  /// Seeds from settings that were read again.
  void SetSeeds(const std::vector<base::Endpoint>& seeds);

  const ControlOptions& options() const { return options_; }

 private:
  struct PendingDrain {
    /// Replicas that have stored it and passed it on, this one included.
    std::size_t taken = 0;
    base::MonotonicTime due;
    std::function<void(bool)> done;
  };

  ControlNode(asio::io_context& loop, const ControlOptions& options, Hooks hooks);
  base::Result<void> Open();
  base::Result<void> OpenLog();
  base::Result<void> Listen();
  cluster::Acceptor::Hooks SessionHooks();
  ReplicaLinks::Hooks LinkHooks();
  void Tick();
  void HandleSessionOpened(const cluster::Session& session);
  void HandleSessionMessage(const cluster::Session& session, const cluster::Message& message);
  void HandlePing(const cluster::Session& session);
  void HandleReports(const cluster::Reports& reports, cluster::NodeRole from);
  void HandleReplicaMessage(const std::string& replica, const cluster::Message& message);
  void LoadCache();
  void ApplyCachedState(const CachedState& cached);
  void AcknowledgeReports(std::uint64_t session, const cluster::Reports& reports);
  void SaveCache(base::MonotonicTime now);
  void ApplyOrderState(const orders::OrderState& state);
  void ApplyMembership(const consensus::Membership& members);
  /// Calls `stored` once the report of an upstream that leaves is on disk; not when that fails.
  void StoreDeparture(const upstreams::UpstreamReport& report, std::function<void()> stored);
  void CountDrainAck(std::uint64_t ack_id);
  void ReplicateDrain(const upstreams::UpstreamReport& report, std::function<void(bool)> done);
  void ExpireDrains(base::MonotonicTime now);
  void SendHeartbeats();
  void SendEntryChanges();
  void HandleObservations(const cluster::Session& session, const cluster::Observations& message);
  std::string MergingReplica(const std::string& upstream) const;
  void SendObservations(base::MonotonicTime now);
  void SendConditions(base::MonotonicTime now);
  void HandleSuspects(const cluster::Session& session, const cluster::Suspects& message);
  /// Tells followers which of `changes` block requests, or did.
  void PublishBlockedSuspects(const std::vector<safety::SuspectReport>& changes);
  /// The requests that are blocked, for a follower that is told of them now.
  cluster::Suspects BlockedSuspects();
  std::set<std::string> ConnectedEntries() const;
  void UpdateLogPeers(base::MonotonicTime now);
  void Reply(const OrderCallback& done, OrderReply reply);
  cluster::Reports AllReports() const;
  cluster::Reports LeavingReports() const;
  cluster::OrderSummary Summary() const;
  std::vector<cluster::ReplicaAddress> KnownReplicas() const;
  std::size_t Majority() const { return members_.voter_count() / 2 + 1; }

  asio::io_context& loop_;
  ControlOptions options_;
  Hooks hooks_;
  std::string self_;
  base::MonotonicTime started_at_;
  metrics::Registry metrics_;
  orders::OrderState state_;
  consensus::Membership members_;
  upstreams::UpstreamTable upstreams_;
  std::vector<cluster::Heartbeat> unsent_heartbeats_;
  std::map<std::uint64_t, PendingDrain> drains_;
  std::uint64_t next_ack_id_ = 1;
  std::map<std::string, std::uint64_t> incarnations_;
  bool entries_changed_ = false;
  /// Names of the connected entries, as the followers were told.
  std::set<std::string> published_entries_;
  base::MonotonicTime liveness_due_;
  distribution::CatalogSource catalogs_;
  ReportAnswerCache answer_cache_;
  observation::Merger observation_merger_;
  /// What followers have seen of upstreams, for the replicas that merge it.
  std::map<std::string, observation::Observation> unsent_observations_;
  /// What each replica, this one included, has last decided on the upstreams of which it merges the
  /// observations.
  std::map<std::string, observation::SharedConditions> conditions_;
  /// The last conditions that followers were told weren't empty.
  bool conditions_published_ = false;
  base::MonotonicTime conditions_due_;
  /// Requests under which upstreams were lost, as all entries have seen them.
  safety::SuspectTable suspects_;
  /// Requests that followers were told are blocked.
  std::set<safety::Fingerprint> published_blocked_;
  StateCache cache_;
  DepartureLog departures_;
  /// Run and state of each upstream whose departure is on disk.
  std::map<std::string, std::pair<std::int64_t, upstreams::State>> stored_departures_;
  bool cache_outdated_ = false;
  base::MonotonicTime cache_due_;
  std::unique_ptr<cluster::Acceptor> acceptor_;
  std::unique_ptr<ReplicaLinks> replica_links_;
  std::unique_ptr<OrderLog> log_;
  std::unique_ptr<net::HttpListener> orders_listener_;
  std::unique_ptr<net::HttpListener> directory_listener_;
  std::unique_ptr<net::HttpListener> metrics_listener_;
  asio::steady_timer timer_;
  std::shared_ptr<bool> alive_;
};

}  // namespace wagtailpick::node
