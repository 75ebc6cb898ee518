#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "catalog/catalog.h"
#include "catalog/split_picker.h"
#include "limits/entry_limits.h"
#include "metrics/registry.h"
#include "net/inbound_request.h"
#include "net/upstream_pool.h"
#include "placement/chooser.h"
#include "placement/retry_budget.h"
#include "relay/crash_guard.h"
#include "relay/decision_log.h"
#include "relay/dialect.h"
#include "relay/relay_metrics.h"
#include "relay/token_requests.h"
#include "upstreams/upstream_table.h"

namespace wagtailpick::relay {

class RequestRun;

/// Reason, in logs and metrics, of requests that end because the memory budget has no room.
inline constexpr std::string_view kNoMemoryReason = "no_memory";

/// Returns a rate limit, in requests per second, as text for logs.
std::string FormatLimit(double requests_per_second);

/// What an entry currently knows and routes requests by.
struct RoutingState {
  /// Null until the first catalog has arrived.
  std::shared_ptr<const catalog::Catalog> catalog;
  upstreams::UpstreamTable upstreams;
  /// Data centres that get no requests.
  std::set<std::string> evacuated;
  /// Upstream conditions merged from the observations of all entries.
  observation::SharedConditions shared;
};

struct RelayOptions {
  std::string vm;
  std::string data_centre;
  /// Region of each data centre.
  std::map<std::string, std::string> regions;
  placement::ColdRateLimit cold_bound;
  placement::RetryLimit retry_bound;
  /// Counts the bodies of answers; null counts none.
  std::shared_ptr<base::MemoryBudget> memory;
};

/// Serves callers' requests by one entry's routing state. Not thread-safe: all calls are made on
/// the loop that is passed to the constructor.
class Relay {
 public:
  Relay(asio::io_context& loop, const RelayOptions& options, Dialect dialect,
        RoutingState& routing_state, metrics::Registry& registry);

  /// Handles a request and answers it later.
  void Handle(std::shared_ptr<net::InboundRequest> inbound);

  /// Records a request that was refused before its body was read, for lack of memory.
  void RecordRefusedForMemory(const http::Request& head);

  /// Records a request that the listener could not read and has answered with an error.
  void RecordUnread(const net::UnreadRequest& request);

  /// Sets the names of all entries, including this one.
  void SetEntries(const std::vector<std::string>& entries);
  /// Closes idle connections to `address` after its upstream restarted, began to drain or left.
  /// After a restart, also discards what was measured of the upstream.
  void DropUpstreamState(const std::string& id, const std::string& address, bool restarted);
  /// Returns and clears what was observed of upstreams since the last call.
  std::vector<observation::Observation> ConsumeObservations(base::MonotonicTime now) {
    return chooser_.ConsumeObservations(now);
  }
  /// Returns and clears the reports of upstreams that announced in an answer that they are leaving.
  std::vector<upstreams::UpstreamReport> ConsumeLeavingReports() {
    return std::exchange(leaving_reports_, {});
  }
  /// State about requests that crash upstreams.
  CrashGuard& crash_guard() { return crash_guard_; }
  /// Merges rate limits that were received from a replica.
  void MergeLimits(const std::vector<limits::LimitReport>& reports);
  /// Returns and clears the reports of rate limits that have changed since the last call.
  std::vector<limits::LimitReport> ConsumeLimitChanges() {
    return limits_.table().ConsumeChanges(base::MonotonicNow());
  }
  /// Rate limits of upstreams.
  const limits::EntryLimits& limits() const { return limits_; }
  /// Requests for tokens, which the node sends to the replicas.
  TokenRequests& token_requests() { return token_requests_; }
  /// Makes the relay refuse requests that may not end before the entry is killed, `grace` after
  /// `signalled_at`. Attempts that run continue.
  void StartDraining(base::MonotonicTime signalled_at, base::Duration grace) {
    drain_ = Drain{signalled_at, grace};
  }
  /// Answers each request that has not ended, before the process exits: 503 if it has not run, 502
  /// if an attempt may have run it or still runs. Returns their number.
  std::size_t EndRequests();
  /// Answers 503 to each request that has not been sent to an upstream. Returns their number.
  std::size_t RefuseUnsentRequests();
  /// Number of requests that have not ended.
  std::size_t running() const { return runs_->size(); }
  /// Closes idle connections that are too old, and drops the limits of upstreams that are gone. To
  /// be called about once a second.
  void Tick(base::MonotonicTime now);

 private:
  friend class RequestRun;

  struct Drain {
    base::MonotonicTime signalled_at;
    base::Duration grace;
  };

  /// The requests that have not ended: one that ends removes itself from `runs_`.
  std::vector<std::shared_ptr<RequestRun>> CopyRuns() const;
  /// Marks a run that announced in an answer that it is leaving.
  void HandleLeaving(const std::string& id, std::int64_t started_unix_ms,
                     const std::string& request_id);
  /// Stops sending requests to the upstream for `back_off`, counted from now, and a short time more
  /// that differs between entries.
  void HandleBackOff(const placement::Choice& choice, base::Duration back_off,
                     const std::string& request_id);
  /// Records the rate limit that an answer of a run states, or that it states none.
  void HandleLimit(const std::string& id, std::int64_t started_unix_ms,
                   const ClassifiedAnswer& answer, base::MonotonicTime sent_at,
                   const std::string& request_id);
  /// Returns log fields with the limit that the run of an upstream has in force; none without one.
  std::vector<logging::Field> LimitFields(const std::string& id, std::int64_t started_unix_ms,
                                          base::MonotonicTime now) const;
  void LogLimitChange(const std::string& id, std::int64_t started_unix_ms,
                      limits::LimitChange change, const std::string& request_id);
  /// Whether a request to the run of an upstream needs a token.
  bool IsLimited(const std::string& id, std::int64_t started_unix_ms) const {
    return limits_.FindBinding(id, started_unix_ms, base::MonotonicNow()) != nullptr;
  }
  /// Whether a request may still be sent to the run of an upstream that was chosen for it.
  bool MaySend(const std::string& id, std::int64_t started_unix_ms) const;

  asio::io_context& loop_;
  Dialect dialect_;
  RoutingState& routing_state_;
  net::UpstreamPool pool_;
  placement::Chooser chooser_;
  placement::RetryBudget retry_budget_;
  catalog::SplitPicker splits_;
  limits::EntryLimits limits_;
  TokenRequests token_requests_;
  DecisionLog log_;
  RelayMetrics metrics_;
  CrashGuard crash_guard_;
  std::string vm_;
  std::vector<upstreams::UpstreamReport> leaving_reports_;
  /// Requests that have not ended. They remove themselves, some of them after the relay is gone.
  std::shared_ptr<std::set<RequestRun*>> runs_ = std::make_shared<std::set<RequestRun*>>();
  /// Set once the entry drains.
  std::optional<Drain> drain_;
};

}  // namespace wagtailpick::relay
