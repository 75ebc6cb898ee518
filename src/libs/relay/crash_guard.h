#pragma once

#include <asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "metrics/registry.h"
#include "net/end_probe.h"
#include "relay/decision_log.h"
#include "safety/suspect_table.h"

namespace wagtailpick::relay {

/// Bounds of the suspects of entries and replicas.
safety::SuspectLimits CrashLimits();

/// A connection that was lost while an upstream had a request.
struct LostExchange {
  /// Of the caller's attempt.
  std::string request_id;
  safety::Fingerprint fingerprint{};
  std::string upstream;
  safety::UpstreamRun run;
};

/// Keeps a request from being sent on when upstreams end under it, in whatever attempt and at
/// whatever entry. Used on one loop only.
class CrashGuard {
 public:
  CrashGuard(asio::io_context& loop, DecisionLog& log, metrics::Registry& registry);

  /// False while no upstream has ended under a request: then no fingerprint is needed.
  bool has_suspects() const { return table_.size() > 0; }
  /// Whether the request may not be sent any more.
  bool IsBlocked(const safety::Fingerprint& fingerprint);
  /// Whether an upstream has ended under the request.
  bool IsSuspect(const safety::Fingerprint& fingerprint);

  /// Finds out whether the upstream has ended, by a connection attempt; `done` is called on the
  /// loop when that is known.
  void ExamineLoss(const LostExchange& lost, std::function<void()> done);
  /// Whether the request is blocked if one more upstream has ended under it.
  bool IsOneCrashFromBlock(const safety::Fingerprint& fingerprint);

  /// An upstream answered a request that was sent at `sent_at`.
  void HandleAnswer(const safety::UpstreamRun& run, base::MonotonicTime sent_at);
  /// The request was served by the upstream at `address`.
  void AddSuccess(const safety::Fingerprint& fingerprint, const std::string& address);
  /// A run that began at `started_unix_ms` has announced itself at `address`, so earlier ones
  /// ended.
  void HandleRunStart(const std::string& address, std::int64_t started_unix_ms);

  /// A suspect request is on its way to an upstream, or no longer.
  void AddRunningSuspect(const std::string& upstream) {
    upstreams_running_suspects_.insert(upstream);
  }
  void RemoveRunningSuspect(const std::string& upstream);
  /// Upstreams that have a suspect request now. Two of them on one upstream couldn't be told apart.
  const std::multiset<std::string>& upstreams_running_suspects() const {
    return upstreams_running_suspects_;
  }

  /// Takes in what replicas tell.
  void Merge(const std::vector<safety::SuspectReport>& reports);
  /// What changed here since the last call.
  std::vector<safety::SuspectReport> ConsumeChanges();
  /// All that is known.
  std::vector<safety::SuspectReport> reports() const;
  std::size_t size() const { return table_.size(); }

 private:
  struct Unexplained {
    LostExchange lost;
    base::MonotonicTime at;
  };

  void TakeVerdict(const LostExchange& lost, net::ProbeVerdict verdict);
  void Strike(const LostExchange& lost);

  net::EndProbe probe_;
  DecisionLog& log_;
  metrics::Registry& metrics_;
  safety::SuspectTable table_;
  /// When this entry saw that a run had ended, by address and incarnation.
  std::map<std::pair<std::string, std::uint64_t>, base::MonotonicTime> struck_;
  /// Losses whose upstream could neither be reached nor be seen to have ended; oldest first.
  std::deque<Unexplained> unexplained_;
  std::multiset<std::string> upstreams_running_suspects_;
};

}  // namespace wagtailpick::relay
