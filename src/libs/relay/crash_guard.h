#pragma once

#include <asio/io_context.hpp>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/expiring_map.h"
#include "base/monotonic_time.h"
#include "metrics/registry.h"
#include "net/liveness_probe.h"
#include "relay/decision_log.h"
#include "safety/suspect_table.h"

namespace wagtailpick::relay {

/// Returns the limits of the suspect tables of entries and replicas.
safety::SuspectLimits CrashLimits();

/// A request whose connection was lost while an upstream had it.
struct LostExchange {
  /// Id that the caller gave the request.
  std::string request_id;
  safety::Fingerprint fingerprint{};
  std::string upstream;
  safety::UpstreamRun run;
};

/// Blocks requests that crash the upstreams that run them. Crashes are counted for each request
/// fingerprint, over all attempts and entries. Not thread-safe: used on one loop only.
class CrashGuard {
 public:
  CrashGuard(asio::io_context& loop, DecisionLog& log, metrics::Registry& registry);

  /// False while no upstream is known to have crashed during a request. No fingerprint has to be
  /// computed then.
  bool has_suspects() const { return table_.size() > 0; }
  /// Whether the request must not be sent.
  bool IsBlocked(const safety::Fingerprint& fingerprint);
  /// Whether an upstream has crashed while it ran the request.
  bool IsSuspect(const safety::Fingerprint& fingerprint);

  /// Probes with a connection attempt whether the upstream has crashed, and adds a strike if it
  /// has. `done` is called when the probe has ended, or at once if the address is invalid.
  void ExamineLoss(const LostExchange& lost, std::function<void()> done);
  /// Whether one more crash would block the request.
  bool IsOneCrashFromBlock(const safety::Fingerprint& fingerprint);

  /// Withdraws the strikes of a run that has answered a request sent at `sent_at`, if the request
  /// was sent after the run was taken for crashed.
  void HandleAnswer(const safety::UpstreamRun& run, base::MonotonicTime sent_at);
  /// Records that the upstream at `address` served the request.
  void AddSuccess(const safety::Fingerprint& fingerprint, const std::string& address);
  /// Handles the announcement of a run at `address` that started at `started_unix_ms`, in
  /// milliseconds since the Unix epoch. Unresolved losses of earlier runs at the address count as
  /// crashes.
  void HandleRunStart(const std::string& address, std::int64_t started_unix_ms);

  /// Records that a suspect request was sent to an upstream, or that its attempt has ended.
  void AddRunningSuspect(const std::string& upstream) {
    upstreams_running_suspects_.insert(upstream);
  }
  void RemoveRunningSuspect(const std::string& upstream);
  /// Upstreams that run a suspect request now, once for each such request. If two suspects ran on
  /// an upstream that crashes, it would be unknown which of them caused the crash.
  const std::multiset<std::string>& upstreams_running_suspects() const {
    return upstreams_running_suspects_;
  }

  /// Merges reports that were received from replicas.
  void Merge(const std::vector<safety::SuspectReport>& reports);
  /// Returns and clears the reports that changed at this entry since the last call.
  std::vector<safety::SuspectReport> ConsumeChanges();
  /// Returns the reports of all suspects.
  std::vector<safety::SuspectReport> reports() const;
  /// Number of suspects.
  std::size_t size() const { return table_.size(); }

 private:
  /// A lost exchange for which the probe could not tell whether the upstream crashed.
  struct UnresolvedLoss {
    LostExchange lost;
    base::MonotonicTime at;
  };

  struct RunHash {
    std::size_t operator()(const safety::UpstreamRun& run) const;
  };

  void HandleProbeVerdict(const LostExchange& lost, net::ProbeVerdict verdict);
  void AddStrike(const LostExchange& lost);

  net::LivenessProbe probe_;
  DecisionLog& log_;
  metrics::Registry& metrics_;
  safety::SuspectTable table_;
  /// When this entry found that a run had crashed. At the cap, the run found longest ago is
  /// dropped: an answer of it withdraws no strikes any more, and they end with their block.
  base::ExpiringMap<safety::UpstreamRun, base::MonotonicTime, RunHash> crashed_runs_;
  /// Oldest first.
  std::deque<UnresolvedLoss> unresolved_losses_;
  std::multiset<std::string> upstreams_running_suspects_;
};

}  // namespace wagtailpick::relay
