#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "distribution/catalog_fetcher.h"
#include "metrics/registry.h"
#include "net/http_listener.h"
#include "node/entry_drain.h"
#include "node/entry_roster.h"
#include "node/loop_delay.h"
#include "node/loop_watch.h"
#include "node/node_options.h"
#include "node/replica_links.h"
#include "node/upstream_sync.h"
#include "relay/relay.h"

namespace wagtailpick::node {

/// An entry: proxies callers' requests by the newest catalog and upstream reports that it has
/// received from the replicas, also while no replica can be reached. Not thread-safe: all calls
/// must come from the thread that runs `loop`.
class EntryNode {
 public:
  struct Hooks {
    /// Decodes a committed catalog.
    std::function<base::Result<catalog::Catalog>(const std::string& bytes)> decode_catalog;
    /// Handles the platform's readiness checks.
    net::InboundHandler serve_readiness;
    relay::Dialect dialect;
  };

  /// Starts the listeners and connects to the replicas. Fails with `kUnavailable` when it cannot
  /// listen on one of the addresses.
  static base::Result<std::unique_ptr<EntryNode>> Start(asio::io_context& loop,
                                                        const EntryOptions& options, Hooks hooks);
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  /// Whether callers may be directed to this entry: it has a catalog and is not draining.
  bool ready() const { return drain_ == nullptr && routing_state_.catalog != nullptr; }

  /// Stops new callers from being directed to this entry and refuses requests that may not end in
  /// time. Calls `done` once all requests have ended, or shortly before `EntryOptions::grace` has
  /// passed. Has no effect after the first call. Requests are taken as if the signal had come as
  /// early as it can have, in view of how late the loop runs.
  void Drain(std::function<void()> done);

  /// Replaces the seed addresses after a reload of the settings.
  void SetSeeds(const std::vector<base::Endpoint>& seeds);

 private:
  EntryNode(asio::io_context& loop, const EntryOptions& options, Hooks hooks);
  base::Result<void> Listen();
  ReplicaLinks::Hooks LinkHooks();
  net::ServerPolicy CallerPolicy() const;
  void Tick();
  void HandleMessage(const std::string& replica, const cluster::Message& message);
  void HandleReports(const cluster::Reports& reports);
  void HandleLiveness(const std::string& replica, const cluster::UpstreamLiveness& liveness);
  void HandleOrderSummary(const std::string& replica, const cluster::OrderSummary& summary);
  void ApplyEvacuations(const std::vector<std::string>& evacuated);
  void HandleCatalogPiece(const std::string& replica, const cluster::CatalogPiece& piece);
  void ApplyCatalog(const distribution::CatalogFetcher::FetchedCatalog& fetched);
  void ApplyEntryNames(const cluster::EntryNames& names);
  void ApplyConditions(const cluster::Conditions& message);
  void SendObservations(base::MonotonicTime now);
  /// Sends to the followed replica the reports of upstreams that announced their leaving in an
  /// answer.
  void SendLeaving(const std::vector<upstreams::UpstreamReport>& leaving);
  /// Sends all suspects and rate limits to the followed replica.
  void SendSharedState();
  void SendSuspects(const std::vector<safety::SuspectReport>& reports);
  /// Cluster address of the replica that issues the tokens of an upstream; empty while no replica
  /// is connected.
  std::string IssuerFor(const std::string& upstream) const;
  /// Returns false while no replica is connected.
  bool SendTokenRequest(const limits::TokenRequest& request);
  void SendLimits(const std::vector<limits::LimitReport>& reports);
  void RequestCatalog(base::MonotonicTime now);
  void ChooseFollowedReplica();
  void UpdateGauges(base::MonotonicTime now);
  base::Duration LongestColdStart() const;

  asio::io_context& loop_;
  EntryOptions options_;
  Hooks hooks_;
  metrics::Registry metrics_;
  /// Counts the bodies of requests and answers.
  std::shared_ptr<base::MemoryBudget> memory_;
  relay::RoutingState routing_state_;
  std::unique_ptr<relay::Relay> relay_;
  std::unique_ptr<ReplicaLinks> replica_links_;
  std::unique_ptr<net::HttpListener> callers_listener_;
  std::unique_ptr<net::HttpListener> readiness_listener_;
  std::unique_ptr<net::HttpListener> metrics_listener_;
  asio::steady_timer timer_;
  LoopDelay loop_delay_;
  LoopWatch loop_watch_;
  /// Log index of the newest order summary that was applied.
  std::uint64_t orders_index_ = 0;
  distribution::CatalogFetcher catalog_fetcher_;
  asio::steady_timer catalog_timer_;
  EntryRoster roster_;
  UpstreamSync upstream_sync_;
  /// Cluster address of the replica that sends reports of all upstreams to this entry; empty while
  /// no replica is connected.
  std::string followed_;
  placement::NetworkDistance network_;
  /// Null until the entry is told to stop.
  std::unique_ptr<EntryDrain> drain_;
  base::MonotonicTime slow_tick_due_;
  base::MonotonicTime observations_due_;
};

}  // namespace wagtailpick::node
