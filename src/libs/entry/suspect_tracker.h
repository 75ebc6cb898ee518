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

/// What a request that is about to be sent has to wait for.
enum class SendDecision {
  kSend,
  /// Another trial of the same request runs.
  kTrialRunning,
  kBlocked,
  /// Too few control replicas answer to decide about a trial.
  kUnavailable,
};

/// Requests that may crash upstreams: this entry's table and its exchange with the other entries.
/// Used on the dispatcher's loop only.
class SuspectTracker {
 public:
  SuspectTracker(PeerSet& peers, ClaimClient& claims, base::EventLoop& loop,
                 timeline::EventRing& events);

  /// Decides whether a request may be sent now; `done` is called on the loop. A suspect one has to
  /// win the register of its single trial first.
  void DecideSend(const safety::Fingerprint& fingerprint, std::int64_t deadline_unix_ms,
                  const std::function<void(SendDecision)>& done);

  /// Records a lost connection and tells the entries that can be reached; `done` is called on the
  /// loop once all of them know or the time for it is over.
  void RecordStrike(const safety::Fingerprint& fingerprint, const safety::LostConnection& lost,
                    const std::function<void()>& done);

  /// Records a complete answer.
  void RecordSuccess(const safety::Fingerprint& fingerprint, const std::string& upstream);

  /// Records an announcement of an upstream.
  void RecordAnnouncement(const safety::UpstreamRun& upstream, std::uint64_t announcement);

  /// Takes in reports of another entry and returns what that entry lacks.
  rpc::SuspectReply Merge(const rpc::SuspectRequest& request);

  /// Asks an entry that was met just now for all that it knows.
  void RequestAllReports(rpc::Client& peer);

  /// Sends what changed to all entries.
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
