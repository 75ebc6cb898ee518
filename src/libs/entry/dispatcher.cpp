#include "entry/dispatcher.h"

#include <algorithm>
#include <future>
#include <utility>

#include "base/random_id.h"
#include "entry/decision_answer.h"
#include "entry/upstream_request.h"
#include "logging/log.h"
#include "rpc/stamp.h"

namespace wagtailpick::entry {
namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(100);
constexpr base::Duration kPeerTimeout = std::chrono::milliseconds(300);
constexpr base::Duration kRefusalEventInterval = std::chrono::seconds(1);
constexpr std::size_t kRingCapacity = 16'384;
/// Entries of other regions get every fourth summary only: they use it just for shifts, and each
/// message costs about 0.25 ms of processor time at the sender and the receiver. Ten a second to
/// all entries would be most of the control load of an entry.
constexpr std::uint64_t kTicksPerRemoteSummary = 4;
/// The first attempt and one retry after an attempt that was not run.
constexpr int kMaxAttempts = 2;
constexpr std::uint32_t kLostRetryMs = 1'000;
constexpr std::uint32_t kNoSlotRetryMs = 100;
/// After a release, replicas reject attempts with the same key that started within the tolerated
/// difference of the wall clocks (100 ms).
constexpr std::uint32_t kReleasedRetryMs = 250;

/// Reason of a refusal: the chosen entry is no member any more.
constexpr std::string_view kUnknownEntryReason = "unknown_entry";

base::Verdict VerdictOf(const rpc::ForwardReply& reply) {
  return base::ParseVerdict(reply.verdict()).value_or(base::Verdict::kMayHaveRun);
}

/// Returns whether a reply from another entry belongs to `request` and its body is complete.
bool IsIntact(const rpc::ForwardRequest& request, const rpc::ForwardReply& reply) {
  if (reply.request_id() != request.request_id()) return false;
  return VerdictOf(reply) != base::Verdict::kRan ||
         reply.body_digest() == base::DigestHex(reply.body());
}

std::chrono::milliseconds TimeLeft(const rpc::ForwardRequest& request) {
  return std::chrono::milliseconds(
      std::max<std::int64_t>(1, request.deadline_unix_ms() - base::WallNowMillis()));
}

}  // namespace

Dispatcher::Dispatcher(const EntryOptions& options, const ProcessContext& context, Session& session,
                       ControlLink& control, http::Client& client)
    : options_(options),
      context_(context),
      session_(session),
      control_(control),
      loop_(kRingCapacity),
      peers_(options.vm),
      claims_(options.control, loop_),
      suspects_(peers_, claims_, loop_, context.events),
      owner_(context, session, client, suspects_, loop_),
      announcement_router_(options_, session, owner_, peers_, control, loop_),
      steering_(options.vm, options.data_centre, options.region, context.events),
      limit_(static_cast<std::uint32_t>(options.max_running)) {}

Dispatcher::~Dispatcher() { Stop(); }

void Dispatcher::Start() {
  loop_.set_on_failure([](const std::string& cause) {
    logging::Write(logging::Level::kError, "handler_failed", cause);
  });
  loop_.Start(kTickInterval, [this] { Tick(); });
}

void Dispatcher::Stop() { loop_.Stop(); }

void Dispatcher::ServeCaller(http::Request request, const http::ResponseSink& sink) {
  auto shared = std::make_shared<http::Request>(std::move(request));
  const bool queued = loop_.TryPost([this, shared, sink] { StartRequest(*shared, sink); });
  if (!queued) sink(Unavailable("this entry is overloaded"));
}

void Dispatcher::StartRequest(const http::Request& request, const http::ResponseSink& sink) {
  if (refuses_new_) return sink(StoppingAnswer(request));
  const ViewPtr view = session_.view();
  if (!session_.IsActive(base::MonotonicNow())) {
    return sink(NoLeaseAnswer(request, view.get(), options_.region));
  }
  auto checked = CheckCallerRequest(request, *view, base::WallNowMillis());
  if (!checked) {
    const auto& error = checked.error();
    return sink(error.code == base::ErrorCode::kNotFound ? NotFound(error.message)
                                                         : BadRequest(error.message));
  }
  auto flow = std::make_shared<RequestFlow>();
  flow->request = std::move(checked.value());
  flow->sink = sink;
  flow->started = base::MonotonicNow();
  const auto* service = view->bundle.FindService(flow->request.forward.service());
  ++running_;
  if (limit_.TryAdmit(static_cast<int>(service->priority)) != admission::EntryDecision::kAdmitted) {
    --running_;
    return sink(OverloadedAnswer(*flow));
  }
  flows_.insert(flow);
  retries_.OnRequest(flow->started);
  if (flow->request.is_idempotent) return Route(flow);
  Claim(flow);
}

void Dispatcher::Claim(const FlowPtr& flow) {
  const auto& request = flow->request.forward;
  auto& claim = flow->claim;
  claim.key = claims::DigestKey(request.service(), flow->request.authorization,
                                flow->request.idempotency_key);
  claim.body = claims::DigestBody(request.method(), request.target(), request.body());
  claim.attempt = NewAttempt();
  claim.started_at = base::WallNowMillis();
  claim.deadline = request.deadline_unix_ms();
  claims_.Claim(claim,
                [this, flow](const claims::Decision& decision) { HandleDecision(flow, decision); });
}

void Dispatcher::HandleDecision(const FlowPtr& flow, const claims::Decision& decision) {
  if (flow->answered) return ReleaseUnusedClaim(flow, decision);
  if (decision.result == claims::RoundResult::kRun) {
    flow->claimed = true;
    return Route(flow);
  }
  if (decision.result == claims::RoundResult::kReplay) return Replay(flow, decision.answer);
  Refuse(flow, DescribeDecision(decision));
}

void Dispatcher::Replay(const FlowPtr& flow, const std::string& answer) {
  rpc::StoredAnswer stored;
  if (!stored.ParseFromString(answer)) {
    claims::Decision damaged;
    damaged.result = claims::RoundResult::kAnswerNotKept;
    damaged.verdict = base::Verdict::kRan;
    return Refuse(flow, DescribeDecision(damaged));
  }
  http::Response response;
  response.status = static_cast<int>(stored.status());
  for (const auto& header : stored.headers()) {
    response.headers.push_back({header.name(), header.value()});
  }
  response.headers.push_back({"X-Wagtailpick-Replayed", "true"});
  response.body = stored.body();
  Respond(flow, std::move(response), base::Verdict::kRan);
}

void Dispatcher::Route(const FlowPtr& flow) {
  ++flow->attempts;
  const auto now = base::MonotonicNow();
  auto& request = flow->request.forward;
  steering_.SetLocal(owner_.Summaries(), now);
  std::string reason;
  const auto target =
      steering_.Choose(request, flow->request.caller_address, flow->attempted, now, reason);
  if (!target) {
    return Finish(flow, RefusalReply(request, base::Verdict::kNotRun, reason, kNoSlotRetryMs));
  }
  flow->target = *target;
  flow->sent = now;
  request.set_data_centre(target->data_centre);
  request.set_shifted(target->shifted);
  auto done = [this, flow](const base::Result<rpc::ForwardReply>& reply) {
    HandleReply(flow, reply);
  };
  if (target->vm == options_.vm) return owner_.Execute(request, done);
  rpc::AddStamp(context_.events, request);
  const auto peer = peers_.Find(target->vm);
  if (peer == nullptr) {
    return HandleReply(
        flow, RefusalReply(request, base::Verdict::kNotRun, kUnknownEntryReason, kNoSlotRetryMs));
  }
  // The extra time lets the owner's timeout fire first, so that a slow upstream is not mistaken for
  // a lost owner.
  peer->Forward(request, TimeLeft(request) + kPeerTimeout,
                [this, done](base::Result<rpc::ForwardReply> reply) {
                  loop_.Post([done, reply = std::move(reply)] { done(reply); });
                });
}

bool Dispatcher::MayRetry(const RequestFlow& flow, const rpc::ForwardReply& reply) {
  return VerdictOf(reply) == base::Verdict::kNotRun && flow.attempts < kMaxAttempts &&
         flow.request.forward.deadline_unix_ms() > base::WallNowMillis() &&
         retries_.TryRetry(base::MonotonicNow());
}

void Dispatcher::HandleReply(const FlowPtr& flow, const base::Result<rpc::ForwardReply>& reply) {
  if (flow->answered) return;
  const auto now = base::MonotonicNow();
  if (!reply || !IsIntact(flow->request.forward, reply.value())) {
    steering_.RecordRefusal(flow->target, now);
    return HandleLostForward(flow);
  }
  const auto& value = reply.value();
  if (value.has_summary()) steering_.ApplySummary(value.summary(), now);
  if (VerdictOf(value) == base::Verdict::kNotRun) {
    steering_.RecordRefusal(flow->target, now);
    flow->attempted.push_back(flow->target);
    if (MayRetry(*flow, value)) return Route(flow);
  } else {
    steering_.RecordAnswer(flow->target, now - flow->sent, value.body().size(), now);
  }
  Finish(flow, value);
}

// Records a strike: the request may have crashed the upstream, and the owner may have been lost
// before it could report that.
void Dispatcher::HandleLostForward(const FlowPtr& flow) {
  const auto lost =
      RefusalReply(flow->request.forward, base::Verdict::kMayHaveRun, "entry_lost", kLostRetryMs);
  safety::LostConnection connection;
  connection.event_id = base::RandomId();
  connection.owner_session = std::to_string(flow->target.entry);
  suspects_.RecordStrike(FingerprintOf(flow->request.forward), connection,
                         [this, flow, lost] { Finish(flow, lost); });
}

void Dispatcher::Finish(const FlowPtr& flow, const rpc::ForwardReply& reply) {
  if (flow->answered) return;
  const base::Verdict verdict = VerdictOf(reply);
  if (verdict != base::Verdict::kRan) {
    if (flow->claimed && verdict == base::Verdict::kNotRun) {
      claims_.Release(
          {flow->claim.table, flow->claim.key, flow->claim.attempt, base::WallNowMillis()});
    }
    auto info = DescribeReply(reply, verdict);
    if (flow->claimed) info.retry_after_ms = std::max(info.retry_after_ms, kReleasedRetryMs);
    return Refuse(flow, std::move(info));
  }
  http::Response response;
  response.status = static_cast<int>(reply.status());
  for (const auto& header : reply.headers()) {
    response.headers.push_back({header.name(), header.value()});
  }
  response.body = reply.body();
  if (flow->claimed) {
    claims_.Complete({flow->claim.table, flow->claim.key, flow->claim.body, flow->claim.attempt,
                      flow->claim.deadline, EncodeStoredAnswer(reply)});
  }
  Respond(flow, std::move(response), verdict);
}

void Dispatcher::Refuse(const FlowPtr& flow, ErrorInfo info) {
  info.request_id = flow->request.forward.request_id();
  context_.metrics.CounterAt("wagtailpick_refusals_total", "reason=\"" + info.reason + "\"").Add();
  ++refused_[info.reason];
  Respond(flow, ErrorAnswer(info), info.verdict);
}

// Records at most one event per reason and second: under overload, an event per request would evict
// all other events from the ring.
void Dispatcher::RecordRefusals(base::MonotonicTime now) {
  if (now < refusals_recorded_ + kRefusalEventInterval) return;
  refusals_recorded_ = now;
  for (const auto& [reason, count] : refused_) {
    context_.events.Record(base::WallNowMillis(), timeline::EventKind::kRequestRefused, reason,
                           std::to_string(count) + " requests");
  }
  refused_.clear();
}

void Dispatcher::Respond(const FlowPtr& flow, http::Response response, base::Verdict verdict) {
  const std::string name(base::ToString(verdict));
  context_.metrics.CounterAt("wagtailpick_requests_total", "verdict=\"" + name + "\"").Add();
  const std::chrono::duration<double> latency = base::MonotonicNow() - flow->started;
  context_.metrics.HistogramAt("wagtailpick_request_seconds", metrics::LatencyBounds())
      .Observe(latency.count());
  if (http::FindHeader(response.headers, "X-Wagtailpick-Verdict") == nullptr) {
    response.headers.push_back({"X-Wagtailpick-Verdict", name});
    response.headers.push_back({"X-Wagtailpick-Request-Id", flow->request.forward.request_id()});
  }
  if (refuses_new_) response.headers.push_back({"Connection", "close"});
  limit_.Release();
  flow->answered = true;
  flows_.erase(flow);
  flow->sink(std::move(response));
  --running_;
}

void Dispatcher::PrepareRenewal(rpc::RenewRequest& request) {
  std::promise<void> added;
  const bool queued = loop_.TryPost([this, &request, &added] {
    steering_.shares().AddDemands(request);
    added.set_value();
  });
  if (queued) added.get_future().wait();
}

void Dispatcher::HandleRenewal(const rpc::RenewReply& reply, base::MonotonicTime sent) {
  loop_.TryPost([this, reply, sent] {
    const ViewPtr view = session_.view();
    if (view == nullptr) return;
    for (const auto& peer : peers_.Update(*view)) suspects_.RequestAllReports(*peer);
    owner_.SetView(*view);
    steering_.SetView(view);
    steering_.shares().ApplyGrants(reply, sent);
    if (reply.has_view()) announcement_router_.ApplyOwnerships(reply.view());
    int highest = 0;
    for (const auto& service : view->bundle.services) {
      highest = std::max(highest, static_cast<int>(service.priority));
    }
    limit_.SetHighestPriority(highest);
  });
}

void Dispatcher::Tick() {
  owner_.Tick();
  suspects_.Tick();
  steering_.Tick(base::MonotonicNow());
  RecordRefusals(base::MonotonicNow());
  if (draining_) ReleaseIdleUpstreams();
  SendSummaries();
}

rpc::Summary Dispatcher::MakeSummary() {
  rpc::Summary summary;
  summary.set_vm(options_.vm);
  summary.set_session_epoch(session_.lease().epoch());
  summary.set_sequence(++summary_sequence_);
  for (auto& place : owner_.Summaries()) *summary.add_places() = std::move(place);
  return summary;
}

void Dispatcher::SendSummaries() {
  const rpc::Summary summary = MakeSummary();
  for (const auto& place : summary.places()) {
    const std::string labels =
        "service=\"" + place.service() + "\",place=\"" + place.data_centre() + "\"";
    context_.metrics.GaugeAt("wagtailpick_owned_slots_free", labels).Set(place.free_slots());
    context_.metrics.GaugeAt("wagtailpick_owned_slots", labels).Set(place.total_slots());
  }
  const ViewPtr view = session_.view();
  const bool all_regions = ++summary_ticks_ % kTicksPerRemoteSummary == 0;
  for (const auto& [vm, peer] : peers_.all()) {
    const Member* member = view->FindMember(vm);
    const bool is_same_region = member != nullptr && member->region == options_.region;
    if (!is_same_region && !all_regions) continue;
    peer->Summarize(summary, kPeerTimeout, [](const base::Result<rpc::Empty>&) {});
  }
}

}  // namespace wagtailpick::entry
