#pragma once

#include <wagtailpick.pb.h>

#include <functional>
#include <string>

#include "base/event_loop.h"
#include "entry/claim_client.h"
#include "entry/peer_set.h"
#include "safety/suspect_table.h"
#include "timeline/event_ring.h"

namespace wagtailpick::entry {

/// Whether a request may be sent to an upstream now.
enum class SendDecision {
  kSend,
  /// A trial of the same request is running.
  kTrialRunning,
  /// The request is blocked, as upstreams crashed during it.
  kBlocked,
  /// Too few control replicas answered to decide about a trial.
  kUnavailable,
};

/// Tracks suspect requests, during which upstreams crashed: keeps this entry's table and exchanges
/// reports with the other entries. Used on the dispatcher's loop only.
class SuspectTracker {
 public:
  SuspectTracker(PeerSet& peers, ClaimClient& claims, base::EventLoop& loop,
                 timeline::EventRing& events);

  /// Decides whether a request may be sent now; `done` is called on the loop. A suspect request may
  /// only be sent after claiming its single trial at the control replicas.
  void DecideSend(const safety::Fingerprint& fingerprint, std::int64_t deadline_unix_ms,
                  const std::function<void(SendDecision)>& done);

  /// Records a lost connection as a strike against the request and broadcasts it. `done` is called
  /// on the loop once all other entries have replied or their calls have timed out.
  void RecordStrike(const safety::Fingerprint& fingerprint, const safety::LostConnection& lost,
                    const std::function<void()>& done);

  /// Records that `upstream` answered the request completely.
  void RecordSuccess(const safety::Fingerprint& fingerprint, const std::string& upstream);

  /// Withdraws the strikes of an upstream whose announcement with the sequence number
  /// `announcement` shows that it did not crash, and broadcasts the reports that this changes.
  void RecordAnnouncement(const safety::UpstreamRun& upstream, std::uint64_t announcement);

  /// Merges the reports of another entry into the table. Returns the reports in which that entry is
  /// behind, or all reports if it asks for them.
  rpc::SuspectReply Merge(const rpc::SuspectRequest& request);

  /// Requests all reports of an entry that has just become a member.
  void RequestAllReports(rpc::Client& peer);

  /// Broadcasts the reports that changed since the last call.
  void Tick();

 private:
  void Broadcast(const std::vector<safety::SuspectReport>& reports,
                 const std::function<void()>& done);
  void HandleReply(const base::Result<rpc::SuspectReply>& reply);
  void StartTrial(const safety::Fingerprint& fingerprint, const std::string& trial_key,
                  std::int64_t deadline_unix_ms, const std::function<void(SendDecision)>& done);

  PeerSet& peers_;
  ClaimClient& claims_;
  base::EventLoop& loop_;
  timeline::EventRing& events_;
  safety::SuspectTable table_{safety::SuspectLimits{}};
};

}  // namespace wagtailpick::entry
