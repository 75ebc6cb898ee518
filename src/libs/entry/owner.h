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
#include "http/client.h"
#include "membership/upstream_registry.h"
#include "routing/upstream_chooser.h"
#include "rpc/handlers.h"

namespace wagtailpick::entry {

/// Owns upstreams: counts their slots and sends them requests. Used on the dispatcher's loop only.
class Owner {
 public:
  Owner(const ProcessContext& context, const Session& session, http::Client& client,
        SuspectTracker& suspects, base::EventLoop& loop);

  /// Takes over the limits and drains of a new view.
  void SetView(const View& view);

  /// Tells whether this entry owns the upstream in its present session.
  bool Owns(const std::string& address) const;

  /// Takes over an upstream that has just announced itself.
  void ApplyGrant(const membership::Announcement& announcement, std::uint64_t epoch,
                  bool quarantine);

  /// Updates an owned upstream from its announcement.
  void ApplyAnnouncement(const membership::Announcement& announcement);

  /// Sends a request to one of the owned upstreams of its service and data centre. `done` is called
  /// exactly once, on the loop.
  void Execute(const rpc::ForwardRequest& request, rpc::Responder<rpc::ForwardReply> done);

  /// Free and total slots per service and data centre.
  std::vector<rpc::PlaceSummary> Summaries();

  /// Frees slots whose time has come, notes silent upstreams and drains that have ended.
  void Tick();

  /// An upstream that was handed over idle.
  struct Released {
    std::string service;
    std::string address;
    std::uint64_t grant_id = 0;
  };

  /// Stops new work at all owned upstreams, to hand them over.
  void BeginHandover();

  /// Ends the ownership of the upstreams that run nothing any more and returns them.
  std::vector<Released> ReleaseIdle();

  /// Requests that run at owned upstreams.
  std::size_t running() const { return running_.size(); }

 private:
  struct RunningRequest {
    rpc::ForwardRequest request;
    rpc::Responder<rpc::ForwardReply> done;
    admission::SlotTicket ticket;
    std::string address;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    base::MonotonicTime started;
  };

  /// One loss of an upstream, shared by all requests that ran on it.
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
  routing::UpstreamId IdOf(const std::string& address);

  ProcessContext context_;
  const Session& session_;
  http::Client& client_;
  SuspectTracker& suspects_;
  base::EventLoop& loop_;
  membership::UpstreamRegistry registry_;
  admission::SlotTable slots_;
  routing::UpstreamChooser chooser_;
  std::map<std::string, routing::UpstreamId> ids_;
  std::map<admission::PoolKey, std::vector<std::string>> pools_;
  std::map<std::uint64_t, RunningRequest> running_;
  std::map<std::string, ConnectionLoss> losses_;
  std::uint64_t epoch_ = 0;
};

}  // namespace wagtailpick::entry
