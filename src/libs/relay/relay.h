#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "catalog/catalog.h"
#include "catalog/split_picker.h"
#include "metrics/registry.h"
#include "net/inbound_request.h"
#include "net/upstream_pool.h"
#include "placement/chooser.h"
#include "placement/retry_budget.h"
#include "relay/crash_guard.h"
#include "relay/decision_log.h"
#include "relay/dialect.h"
#include "relay/relay_metrics.h"
#include "upstreams/upstream_table.h"

namespace wagtailpick::relay {

/// What an entry believes, as far as requests need it.
struct RoutingState {
  /// Null until the first catalog has come.
  std::shared_ptr<const catalog::Catalog> catalog;
  upstreams::UpstreamTable upstreams;
  std::set<std::string> evacuated;
  /// What all entries together have seen of upstreams.
  observation::SharedConditions shared;
};

struct RelayOptions {
  std::string vm;
  std::string data_centre;
  /// Region of each data centre.
  std::map<std::string, std::string> regions;
  placement::ColdRateLimit cold_bound;
  placement::RetryLimit retry_bound;
};

/// Serves callers' requests by one entry's beliefs. Used on one loop only.
class Relay {
 public:
  Relay(asio::io_context& loop, const RelayOptions& options, Dialect dialect, RoutingState& beliefs,
        metrics::Registry& registry);

  void Handle(std::shared_ptr<net::InboundRequest> inbound);

  /// Names of all entries, this one included.
  void SetEntries(const std::vector<std::string>& entries);
  /// An upstream at `address` has started again, drains or is gone.
  void DropUpstreamState(const std::string& id, const std::string& address, bool restarted);
  /// What was seen of upstreams since the last call.
  std::vector<observation::Observation> ConsumeObservations(base::MonotonicTime now) {
    return chooser_.ConsumeObservations(now);
  }
  /// The reports of upstreams that have said in an answer, since the last call, that they leave.
  std::vector<upstreams::UpstreamReport> ConsumeLeavingReports() {
    return std::exchange(leaving_, {});
  }
  /// What is known of requests that end upstreams.
  CrashGuard& crash_guard() { return crash_guard_; }
  /// New requests are refused from now on.
  void RefuseNewRequests() { refusing_ = true; }
  std::size_t running() const { return running_; }
  /// Due about once a second.
  void Tick(base::MonotonicTime now) { pool_.CloseStale(now); }

 private:
  friend class RequestRun;

  void NoteLeaving(const std::string& id, std::int64_t started_unix_ms,
                   const std::string& request_id);
  void NoteUnwanted(const placement::Choice& choice, base::Duration time,
                    const std::string& request_id);
  /// Whether a request that was chosen for this run of an upstream may still be sent to it.
  bool MaySend(const std::string& id, std::int64_t started_unix_ms) const;

  asio::io_context& loop_;
  Dialect dialect_;
  RoutingState& routing_state_;
  net::UpstreamPool pool_;
  placement::Chooser chooser_;
  placement::RetryBudget allowance_;
  catalog::SplitPicker splits_;
  DecisionLog log_;
  RelayMetrics metrics_;
  CrashGuard crash_guard_;
  std::string vm_;
  std::vector<upstreams::UpstreamReport> leaving_;
  std::size_t running_ = 0;
  bool refusing_ = false;
};

}  // namespace wagtailpick::relay
