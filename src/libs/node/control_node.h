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
#include "limits/limit_table.h"
#include "limits/token_issuer.h"
#include "metrics/registry.h"
#include "net/http_listener.h"
#include "node/departure_log.h"
#include "node/entry_list_gate.h"
#include "node/lookup.h"
#include "node/loop_watch.h"
#include "node/node_options.h"
#include "node/order_log.h"
#include "node/order_reply.h"
#include "node/replica_links.h"
#include "node/report_answer_cache.h"
#include "node/state_cache.h"
#include "observation/outlier_detector.h"
#include "observation/shared_conditions.h"
#include "safety/suspect_table.h"
#include "upstreams/upstream_table.h"

namespace wagtailpick::node {

/// A control replica: accepts operators' orders and upstreams' announcements and publishes them to
/// the entries. Not thread-safe: all calls must come from the thread that runs `loop`.
class ControlNode {
 public:
  struct Hooks {
    /// Decodes and validates a catalog. Returns its version; fails with `kInvalidArgument`.
    std::function<base::Result<std::uint64_t>(const std::string& bytes)> check_catalog;
    /// Handles HTTP requests from operators and upstreams.
    net::InboundHandler serve_orders;
    /// Handles HTTP requests from callers that look up the addresses of entries.
    net::InboundHandler serve_directory;
  };

  /// Recovers the state from the data folder, starts the listeners and joins the consensus group.
  /// Fails with `kUnavailable` when it cannot listen on one of the addresses, and otherwise as
  /// `OrderLog::Start` does.
  static base::Result<std::unique_ptr<ControlNode>> Start(asio::io_context& loop,
                                                          const ControlOptions& options,
                                                          Hooks hooks);
  ~ControlNode();
  ControlNode(const ControlNode&) = delete;
  ControlNode& operator=(const ControlNode&) = delete;

  /// Answers the calls that have arrived before the process exits. Closes all listeners and links
  /// once all are answered, or after a second, and calls `done`, which must stop the loop. Has no
  /// effect after the first call.
  void Drain(std::function<void()> done);

  /// Commits a catalog. `done` is called once, on the loop; the status is `kInvalid` when the
  /// catalog cannot be decoded, and `kAccepted` without a commit when its version is not newer than
  /// the committed one.
  void PutCatalog(const std::string& bytes, OrderCallback done);
  /// Starts or ends the evacuation of a data centre. `done` is called once, on the loop; the status
  /// is `kInvalid` for an unknown data centre.
  void SetEvacuation(const std::string& data_centre, bool evacuated, OrderCallback done);
  /// Reads the newest committed catalog. `done` is called once, on the loop.
  void ReadCatalog(OrderCallback done);

  /// Applies an upstream's announcement. `done` is called with true once the announcement may be
  /// acknowledged: at once for a ready upstream; for a draining or leaving one, when a majority of
  /// the replicas have stored it and sent it to their entries. Called with false when that does not
  /// happen in time.
  void HandleAnnouncement(const upstreams::UpstreamReport& report, std::function<void(bool)> done);

  /// Marks the current run of the upstream `id` as left. `done` is called as for
  /// `HandleAnnouncement`, and with false when the upstream is unknown.
  void HandleLeave(const std::string& id, std::function<void(bool)> done);

  /// Returns the addresses of the entries nearest to a caller in `data_centre`. Empty while this
  /// replica has just started or has no links to a majority, and when no entry is ready.
  std::vector<std::string> Lookup(const std::string& data_centre) const;

  /// Replaces the seed addresses after a reload of the settings.
  void SetSeeds(const std::vector<base::Endpoint>& seeds);

  const ControlOptions& options() const { return options_; }

 private:
  /// The announcement of a draining or leaving upstream that a majority has not acknowledged yet.
  struct PendingDrain {
    /// Replicas that have stored it and sent it to their entries, this one included.
    std::size_t ack_count = 0;
    base::MonotonicTime deadline;
    std::function<void(bool)> done;
  };

  ControlNode(asio::io_context& loop, const ControlOptions& options, Hooks hooks);
  base::Result<void> Open();
  base::Result<void> OpenLog();
  base::Result<void> Listen();
  cluster::Acceptor::Hooks SessionHooks();
  ReplicaLinks::Hooks LinkHooks();
  void Tick();
  void UpdateGauges();
  void CheckDrain(base::MonotonicTime give_up_at);
  /// Closes all listeners and links; only the destructor may be called then.
  void Close();
  net::ServerPolicy OrdersPolicy() const;
  void HandleSessionOpened(const cluster::Session& session);
  void HandleSessionMessage(const cluster::Session& session, const cluster::Message& message);
  void HandlePing(const cluster::Session& session);
  void HandleReports(const cluster::Reports& reports, cluster::NodeRole from);
  void HandleHeartbeats(const cluster::Session& session, const cluster::Heartbeats& message);
  /// Requests the reports in which this replica differs from `replica`, unless it did so just now.
  void RequestReports(const std::string& replica, base::MonotonicTime now);
  void HandleReplicaMessage(const std::string& replica, const cluster::Message& message);
  void LoadCache();
  void ApplyCachedState(const CachedState& cached);
  void AcknowledgeReports(std::uint64_t session, const cluster::Reports& reports);
  void SaveCache(base::MonotonicTime now);
  void ApplyOrderState(const orders::OrderState& state);
  void ApplyMembership(const consensus::Membership& members);
  /// Calls `stored` once the report of a draining or leaving upstream is on disk; never when the
  /// write fails.
  void StoreDeparture(const upstreams::UpstreamReport& report, std::function<void()> stored);
  void CountDrainAck(std::uint64_t ack_id);
  void ReplicateDrain(const upstreams::UpstreamReport& report, std::function<void(bool)> done);
  void ExpireDrains(base::MonotonicTime now);
  void SendHeartbeats();
  void SendEntryChanges();
  /// Sends the list of entries to the followers that have none, unless many entries are connecting.
  void SendEntryLists(base::MonotonicTime now);
  void HandleObservations(const cluster::Session& session, const cluster::Observations& message);
  std::string MergingReplica(const std::string& upstream) const;
  void SendObservations(base::MonotonicTime now);
  void SendConditions(base::MonotonicTime now);
  void HandleSuspects(const cluster::Session& session, const cluster::Suspects& message);
  /// Sends to the followers those of `changes` that block a request or have stopped blocking one.
  void PublishBlockedSuspects(const std::vector<safety::SuspectReport>& changes);
  /// Returns all blocked requests, for an entry that has just begun to follow this replica, and
  /// records them as published.
  cluster::Suspects BlockedSuspects();
  void HandleLimits(const cluster::LimitReports& message, cluster::NodeRole from);
  void HandleTokenRequest(const cluster::Session& session, const cluster::TokenRequest& request);
  void HandleTokensIssued(const cluster::TokensIssued& message);
  void SendTokensIssued();
  /// Removes the limits and tokens of runs that are over.
  void RemoveOldLimits(base::MonotonicTime now);
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
  /// Counts the bodies of orders and announcements.
  std::shared_ptr<base::MemoryBudget> memory_;
  orders::OrderState state_;
  consensus::Membership members_;
  upstreams::UpstreamTable upstreams_;
  std::vector<cluster::Heartbeat> unsent_heartbeats_;
  /// By replica: when reports were last requested over the current link.
  std::map<std::string, base::MonotonicTime> reports_requested_at_;
  std::map<std::uint64_t, PendingDrain> drains_;
  std::uint64_t next_ack_id_ = 1;
  std::map<std::string, std::uint64_t> incarnations_;
  bool entries_changed_ = false;
  /// Names of the connected entries as last sent to the followers.
  std::set<std::string> published_entries_;
  EntryListGate entry_list_gate_;
  /// Sessions of followers to which the list of entries was not sent yet.
  std::set<std::uint64_t> entries_without_list_;
  base::MonotonicTime liveness_due_;
  distribution::CatalogSource catalog_source_;
  ReportAnswerCache answer_cache_;
  observation::OutlierDetector outlier_detector_;
  /// Observations from followers, by upstream, to be sent to the replicas that merge them.
  std::map<std::string, observation::Observation> unsent_observations_;
  /// By replica, this one included: its latest conditions of the upstreams whose observations it
  /// merges.
  std::map<std::string, observation::SharedConditions> conditions_;
  /// Whether the conditions last sent to the followers were non-empty.
  bool conditions_published_ = false;
  base::MonotonicTime conditions_due_;
  /// Requests during which upstreams crashed, merged from all entries.
  safety::SuspectTable suspects_;
  /// Fingerprints of the requests last published to the followers as blocked.
  std::set<safety::Fingerprint> published_blocked_;
  limits::LimitTable limits_;
  limits::TokenIssuer token_issuer_;
  StateCache cache_;
  DepartureLog departures_;
  /// Start time (Unix ms) and state of each upstream whose departure is on disk, by upstream id.
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
  LoopWatch loop_watch_;
  /// Checks whether all calls are answered once the node drains.
  asio::steady_timer drain_timer_;
  /// Set while the node drains.
  std::function<void()> on_drained_;
  bool draining_ = false;
  std::shared_ptr<bool> alive_;
};

}  // namespace wagtailpick::node
