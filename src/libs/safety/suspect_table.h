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

/// Limits of a `SuspectTable`. The defaults are those of the design documentation.
struct SuspectLimits {
  std::size_t max_fingerprints = 10'000;
  std::size_t max_recent_successes = 10'000;
  /// Duration of a block from its last strike or renewal.
  WallMillis block_ms = 600'000;
  /// Duration of a suspicion from its last strike. Shorter than the time for which replicas keep
  /// the claim of a trial: a suspicion that outlived the claim would get a second trial.
  WallMillis suspect_ms = 590'000;
  /// A request with a success elsewhere within this time is served without a trial.
  WallMillis recent_success_ms = 60'000;
  /// Number of upstreams lost during a request at which it is blocked.
  std::size_t strikes_to_block = 2;
  /// A refused attempt renews a block if its last renewal is at least this long ago.
  WallMillis renewal_step_ms = 0;
};

enum class Action : std::uint8_t {
  kServe,
  /// Run it only after claiming the register `CheckResult::trial_key`.
  kTrial,
  /// Refuse it. The block may have been renewed by this check.
  kBlocked,
};

/// Returns the action's name for logs.
std::string_view ToString(Action action);

/// How a request may run.
struct CheckResult {
  Action action = Action::kServe;
  /// Empty except for a trial. The same on all entries that know the same strikes.
  std::string trial_key;
};

/// A lost connection to an upstream, as seen by the upstream's owner; or a lost connection to the
/// owner after a request was forwarded to it, as seen by the forwarding entry. In the second case
/// the upstream may have crashed and the owner may have ended before it could report this.
struct LostConnection {
  /// Random. The same for all requests that were running on the upstream.
  std::string event_id;
  UpstreamRun upstream;
  /// Number of the upstream's last announcement that was received.
  std::uint64_t announcement = 0;
  /// The session of the lost owner; empty if the owner itself saw the loss. Also empty for a trial:
  /// a trial runs after the other strikes, so its loss must be counted separately.
  std::string owner_session;
};

/// One entry's records of requests that may crash the upstreams that run them. Not thread-safe.
class SuspectTable {
 public:
  explicit SuspectTable(const SuspectLimits& limits);

  /// Returns how a request may run now. To be called by the entry that is about to send it. A check
  /// of a blocked request may renew the block.
  CheckResult Check(const Fingerprint& fingerprint, WallMillis now);

  /// Returns how many upstreams were lost while they ran a request, owner losses included.
  std::size_t LostUpstreamCount(const Fingerprint& fingerprint, WallMillis now);

  /// Whether `report` blocks its request at `now`, by the rule of `Check`.
  bool IsBlocking(const SuspectReport& report, WallMillis now) const;

  /// Adds a strike for a request that was running when the connection was lost. The returned report
  /// has to be sent to all entries before the caller is answered.
  SuspectReport AddStrike(const Fingerprint& fingerprint, const LostConnection& lost,
                          WallMillis now);

  /// Records a complete answer from the upstream at `address`, which clears the request's strikes.
  /// Returns a report for all entries if the request was suspect until then.
  std::optional<SuspectReport> AddSuccess(const Fingerprint& fingerprint,
                                          const std::string& address, WallMillis now);

  /// Withdraws the strikes of a run that has sent the announcement numbered `announcement` after
  /// its supposed loss. Returns the reports to send to all entries.
  std::vector<SuspectReport> WithdrawStrikes(const UpstreamRun& upstream,
                                             std::uint64_t announcement, WallMillis now);

  /// Adds a strike for a trial whose claim register is still held after the deadline of its
  /// attempt. The attempt may have crashed its upstream, and its entry may have ended before it
  /// reported this.
  SuspectReport AddUnresolvedTrial(const Fingerprint& fingerprint, const std::string& trial_key,
                                   WallMillis now);

  /// Merges a report of another entry. Returns the merged report if the sender's was incomplete; it
  /// is to be sent back in the reply.
  std::optional<SuspectReport> Merge(const SuspectReport& report, WallMillis now);

  /// Merges a report whose sender also sends it to all other processes. The merge does not count as
  /// a change for `ConsumeChanges`.
  void MergeWithoutForwarding(const SuspectReport& report, WallMillis now);

  /// Returns the reports that changed since the last call, and clears the list of changes. Entries
  /// exchange them regularly to make up for lost messages.
  std::vector<SuspectReport> ConsumeChanges(WallMillis now);

  /// Returns all reports that have not expired, for an entry that has just started.
  std::vector<SuspectReport> reports(WallMillis now) const;

  /// Number of fingerprints, including expired ones that have not been removed.
  std::size_t size() const { return suspects_.size(); }

 private:
  using Suspects = std::unordered_map<Fingerprint, SuspectReport, FingerprintHash>;

  /// Returns the report, or null if there is none. Removes an expired one.
  SuspectReport* Find(const Fingerprint& fingerprint, WallMillis now);
  SuspectReport& FindOrAdd(const Fingerprint& fingerprint, WallMillis now);
  /// Whether another upstream than the lost ones answered the request recently.
  bool SucceededRecently(const SuspectReport& report, WallMillis now) const;
  /// The lost upstreams that count at `now`.
  std::size_t CountLosses(const SuspectReport& report, WallMillis now) const;
  bool IsExpired(const SuspectReport& report, WallMillis now) const;
  WallMillis ExpiresAt(const SuspectReport& report) const;
  void MakeRoom(WallMillis now, const Fingerprint& keep);
  const SuspectReport& MarkChanged(const SuspectReport& report);

  SuspectLimits limits_;
  Suspects suspects_;
  RecentSuccesses successes_;
  std::unordered_set<Fingerprint, FingerprintHash> changed_;
};

}  // namespace wagtailpick::safety
