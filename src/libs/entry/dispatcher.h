#pragma once

#include <wagtailpick.pb.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "admission/entry_limit.h"
#include "admission/retry_budget.h"
#include "base/event_loop.h"
#include "entry/announcement_router.h"
#include "entry/claim_client.h"
#include "entry/control_link.h"
#include "entry/entry_options.h"
#include "entry/error_answer.h"
#include "entry/owner.h"
#include "entry/peer_set.h"
#include "entry/process_context.h"
#include "entry/request_flow.h"
#include "entry/session.h"
#include "entry/steering.h"
#include "entry/suspect_tracker.h"
#include "http/client.h"
#include "http/server.h"
#include "rpc/handlers.h"

namespace wagtailpick::entry {

/// Processes the requests of an entry: validates and claims them, chooses a target, forwards them
/// and answers the callers. All state belongs to one event loop; the public functions may be called
/// from any thread and post to it.
class Dispatcher {
 public:
  Dispatcher(const EntryOptions& options, const ProcessContext& context, Session& session,
             ControlLink& control, http::Client& client);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Starts the loop's thread.
  void Start();

  /// Stops the loop's thread.
  void Stop();

  /// Processes a caller's request to a service. `sink` gets the answer, on the loop's thread, or on
  /// the calling thread if the loop's queue is full.
  void ServeCaller(http::Request request, const http::ResponseSink& sink);

  /// Processes an upstream's announcement received over HTTP. `sink` gets the answer.
  void ServeAnnouncement(const http::Request& request, const http::ResponseSink& sink);

  /// Returns the RPC handlers that the other entries call.
  rpc::EntryHandlers Handlers();

  /// Adds this entry's share demands to a renewal request. Blocks until the loop has done it; adds
  /// nothing if the loop's queue is full.
  void PrepareRenewal(rpc::RenewRequest& request);

  /// Applies a granted renewal whose request was sent at `sent`.
  void HandleRenewal(const rpc::RenewReply& reply, base::MonotonicTime sent);

  /// Starts to hand over the owned upstreams: they get no new work, and the ownership of each ends
  /// once it is idle.
  void StartDrain();

  /// Refuses requests that are not started yet, and all later ones, with status 503. Returns once
  /// the loop has applied this; from then on `running()` does not rise.
  void RefuseNewRequests();

  /// Answers the running requests of callers: with status 502 if they may have run, else with 503.
  void AnswerRunningRequests();

  /// Number of running requests, both of callers and forwarded by other entries.
  std::size_t running() const { return running_; }

 private:
  using FlowPtr = std::shared_ptr<RequestFlow>;

  void StartRequest(const http::Request& request, const http::ResponseSink& sink);
  void Claim(const FlowPtr& flow);
  void HandleDecision(const FlowPtr& flow, const claims::Decision& decision);
  void Route(const FlowPtr& flow);
  void HandleReply(const FlowPtr& flow, const base::Result<rpc::ForwardReply>& reply);
  void HandleLostForward(const FlowPtr& flow);
  void Finish(const FlowPtr& flow, const rpc::ForwardReply& reply);
  void Replay(const FlowPtr& flow, const std::string& answer);
  void Refuse(const FlowPtr& flow, ErrorInfo info);
  void Respond(const FlowPtr& flow, http::Response response, base::Verdict verdict);
  bool MayRetry(const RequestFlow& flow, const rpc::ForwardReply& reply);
  void Forward(const rpc::ForwardRequest& request, const rpc::Responder<rpc::ForwardReply>& done);
  void RecordRefusals(base::MonotonicTime now);
  void RunOnLoop(const std::function<void()>& task);
  void AnswerUnfinished(const FlowPtr& flow);
  void ReleaseUnusedClaim(const FlowPtr& flow, const claims::Decision& decision);
  void Tick();
  rpc::Summary MakeSummary();
  void SendSummaries();
  void ReleaseIdleUpstreams();

  EntryOptions options_;
  ProcessContext context_;
  Session& session_;
  ControlLink& control_;
  base::EventLoop loop_;
  PeerSet peers_;
  ClaimClient claims_;
  SuspectTracker suspects_;
  Owner owner_;
  AnnouncementRouter announcement_router_;
  Steering steering_;
  admission::EntryLimit limit_;
  admission::RetryBudget retries_;
  std::uint64_t summary_sequence_ = 0;
  std::uint64_t summary_ticks_ = 0;
  /// Refusals by reason since the last timeline events about them.
  std::map<std::string, std::uint64_t> refused_;
  base::MonotonicTime refusals_recorded_{};
  bool draining_ = false;
  bool refuses_new_ = false;
  /// Running requests of callers.
  std::set<FlowPtr> flows_;
  std::atomic<std::size_t> running_ = 0;
};

}  // namespace wagtailpick::entry
