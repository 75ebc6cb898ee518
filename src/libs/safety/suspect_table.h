#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "safety/recent_successes.h"
#include "safety/suspect_record.h"

namespace wagtailpick::safety {

/// Bounds of a `SuspectTable`. The defaults are the design page's.
struct SuspectLimits {
  std::size_t max_fingerprints = 10'000;
  std::size_t max_recent_successes = 10'000;
  WallMillis block_ms = 600'000;
  /// Shorter than replicas keep the claim of a trial, so that a suspicion never outlives the claim
  /// and gets a second trial.
  WallMillis suspect_ms = 590'000;
  WallMillis recent_success_ms = 60'000;
  /// Upstreams that may be lost under a request before it is blocked.
  std::size_t strikes_to_block = 2;
  /// A refused attempt renews a block that was renewed at least this long ago.
  WallMillis renewal_step_ms = 0;
};

enum class Action : std::uint8_t {
  kServe,
  /// Run it only after winning the claim register `CheckResult::trial_key`.
  kTrial,
  /// Refuse it; this renewed the block.
  kBlocked,
};

/// Returns the action's name for logs.
std::string_view ToString(Action action);

struct CheckResult {
  Action action = Action::kServe;
  /// Equal on all entries that know the same strikes.
  std::string trial_key;
};

/// A lost connection to an upstream, as its owner saw it; or a lost connection to the owner after
/// the request was forwarded to it, as the forwarding entry saw it. The owner may have died before
/// it could tell anybody that the upstream crashed.
struct LostConnection {
  /// Random; one for all requests that were running on the upstream.
  std::string event_id;
  UpstreamRun upstream;
  /// The last announcement of the upstream that was heard of.
  std::uint64_t announcement = 0;
  /// The lost owner's session, when it wasn't the owner that saw the loss. Empty for a trial: it
  /// ran after the other strikes, so it must count by itself.
  std::string owner_session;
};

/// Requests that may crash the upstreams that run them, as one entry knows them.
class SuspectTable {
 public:
  explicit SuspectTable(const SuspectLimits& limits);

  /// Says how a request may run now. To be asked by the entry that is about to send it.
  CheckResult Check(const Fingerprint& fingerprint, WallMillis now);

  /// Returns how many upstreams were lost under a request.
  std::size_t LostUpstreamCount(const Fingerprint& fingerprint, WallMillis now);

  /// Whether what `report` says blocks its request.
  bool IsBlocking(const SuspectReport& report) const;

  /// Adds a strike for one request that was running when the connection was lost. The report goes
  /// to all entries before the caller gets its answer.
  SuspectReport AddStrike(const Fingerprint& fingerprint, const LostConnection& lost,
                          WallMillis now);

  /// Takes note of a complete answer from `address`. A strike that is known is cleared by it; then
  /// the report goes to all entries.
  std::optional<SuspectReport> AddSuccess(const Fingerprint& fingerprint,
                                          const std::string& address, WallMillis now);

  /// Withdraws the strikes of an upstream that announces itself under the same incarnation. Returns
  /// the reports that go to all entries.
  std::vector<SuspectReport> WithdrawStrikes(const UpstreamRun& upstream,
                                             std::uint64_t announcement, WallMillis now);

  /// The claim register of the trial is held by an attempt whose deadline has passed without a
  /// known end: it may have crashed its upstream, and its entry as well. Counts as a strike.
  SuspectReport AddUnresolvedTrial(const Fingerprint& fingerprint, const std::string& trial_key,
                                   WallMillis now);

  /// Takes in what another entry knows. Returns this entry's report when the sender lacks some of
  /// it, so that the sender learns it in the reply.
  std::optional<SuspectReport> Merge(const SuspectReport& report, WallMillis now);

  /// Takes in what another process tells all others as well: it isn't a change of this table.
  void MergeWithoutForwarding(const SuspectReport& report, WallMillis now);

  /// Returns and forgets what changed since the last call, for the regular exchange among entries
  /// that makes up for lost messages.
  std::vector<SuspectReport> ConsumeChanges(WallMillis now);

  /// Returns all that is known, for an entry that has just started.
  std::vector<SuspectReport> reports(WallMillis now) const;

  std::size_t size() const { return suspects_.size(); }

 private:
  using Suspects = std::unordered_map<Fingerprint, SuspectReport, FingerprintHash>;

  SuspectReport* Find(const Fingerprint& fingerprint, WallMillis now);
  SuspectReport& FindOrAdd(const Fingerprint& fingerprint, WallMillis now);
  bool IsExpired(const SuspectReport& report, WallMillis now) const;
  WallMillis ExpiresAt(const SuspectReport& report) const;
  void MakeRoom(WallMillis now, const Fingerprint& keep);
  const SuspectReport& Changed(const SuspectReport& report);

  SuspectLimits limits_;
  Suspects suspects_;
  RecentSuccesses successes_;
  std::unordered_set<Fingerprint, FingerprintHash> changed_;
};

}  // namespace wagtailpick::safety
