#pragma once

#include <wagtailpick.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "admission/slot_table.h"
#include "base/event_loop.h"
#include "entry/exchange_outcome.h"
#include "entry/process_context.h"
#include "entry/session.h"
#include "entry/suspect_tracker.h"
#include "entry/upstream_ids.h"
#include "http/client.h"
#include "membership/upstream_registry.h"
#include "routing/upstream_chooser.h"
#include "rpc/handlers.h"

namespace wagtailpick::entry {

/// Manages the upstreams that this entry owns: counts their slots and sends them requests. Used on
/// the dispatcher's loop only.
class Owner {
 public:
  Owner(const ProcessContext& context, const Session& session, http::Client& client,
        SuspectTracker& suspects, base::EventLoop& loop);

  /// Applies the slot limits and drains of a new view, and ends the ownerships of earlier sessions.
  void SetView(const View& view);

  /// Returns whether this entry owns the upstream at `address` in its current session.
  bool Owns(const std::string& address) const;

  /// Starts to own the upstream of `announcement` under the grant `grant_id` of control.
  /// `quarantine` means that it may still run requests of an earlier owner.
  void ApplyGrant(const membership::Announcement& announcement, std::uint64_t grant_id,
                  bool quarantine);

  /// Updates an owned upstream from its announcement. Counts and ignores an outdated one.
  void ApplyAnnouncement(const membership::Announcement& announcement);

  /// Sends a request to one of the owned upstreams of its service and data centre. `done` gets the
  /// answer or a refusal exactly once, on the loop.
  void Execute(const rpc::ForwardRequest& request, rpc::Responder<rpc::ForwardReply> done);

  /// Returns slot counts and the median latency for each service and data centre.
  std::vector<rpc::PlaceSummary> Summaries();

  /// Frees slots whose reservation has expired, and records upstreams that became silent or
  /// finished draining. Called every 100 ms.
  void Tick();

  /// An upstream whose ownership ended while it was idle.
  struct Released {
    std::string service;
    std::string address;
    std::uint64_t grant_id = 0;
  };

  /// Stops new work at all owned upstreams in preparation of their handover.
  void BeginHandover();

  /// Ends the ownership of all idle upstreams and returns them.
  std::vector<Released> ReleaseIdle();

  /// Number of requests running at owned upstreams.
  std::size_t running() const { return running_.size(); }

 private:
  /// A request sent to an upstream that has not ended. `incarnation` and `sequence` are those of
  /// the upstream's last announcement before it was sent.
  struct RunningRequest {
    rpc::ForwardRequest request;
    rpc::Responder<rpc::ForwardReply> done;
    admission::SlotTicket ticket;
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    base::MonotonicTime started;
  };

  /// One loss of an upstream. All requests that were running on it report the same event ID, so
  /// that they count as one event.
  struct ConnectionLoss {
    std::string event_id;
    std::uint64_t incarnation = 0;
  };

  void Send(const rpc::ForwardRequest& request, const rpc::Responder<rpc::ForwardReply>& done);
  std::string ChooseAddress(const admission::PoolKey& pool, bool prefer_idle);
  admission::Acquisition Acquire(const rpc::ForwardRequest& request, std::string& address);
  void Finish(std::uint64_t serial, const http::Exchange& exchange);
  void Answer(const RunningRequest& run, const http::Exchange& exchange,
              const ExchangeOutcome& outcome);
  void RecordStrike(const RunningRequest& run, const std::function<void()>& done);
  void RecordChanges(const std::vector<membership::Change>& changes);
  /// Removes what is kept of an upstream that no announcement has named for long.
  void Forget(const std::string& address);
  /// Removes addresses that this entry no longer owns from the pools. The pools stay, so that their
  /// summaries show that they have no slots.
  void RemoveUnownedAddresses();

  ProcessContext context_;
  const Session& session_;
  http::Client& client_;
  SuspectTracker& suspects_;
  base::EventLoop& loop_;
  membership::UpstreamRegistry registry_;
  admission::SlotTable slots_;
  routing::UpstreamChooser chooser_;
  UpstreamIds ids_;
  /// Addresses of the owned upstreams.
  std::map<admission::PoolKey, std::vector<std::string>> pools_;
  std::map<std::uint64_t, RunningRequest> running_;
  std::map<std::string, ConnectionLoss> losses_;
  std::uint64_t epoch_ = 0;
};

}  // namespace wagtailpick::entry
