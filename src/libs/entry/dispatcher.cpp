#include "entry/dispatcher.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

#include "base/random_id.h"
#include "entry/announcement_json.h"
#include "entry/error_answer.h"

namespace wagtailpick::entry {
namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(100);
constexpr base::Duration kPeerTimeout = std::chrono::milliseconds(300);
constexpr base::Duration kSummaryMaxAge = std::chrono::seconds(1);
constexpr std::size_t kRingCapacity = 16'384;
/// A first choice and one more after a refusal that ran nothing.
constexpr int kMaxAttempts = 2;
constexpr std::uint32_t kMaxAnnounceHops = 2;

base::Verdict VerdictOf(const rpc::ForwardReply& reply) {
  return base::ParseVerdict(reply.verdict()).value_or(base::Verdict::kMayHaveRun);
}

}  // namespace

struct Dispatcher::Flow {
  CallerRequest request;
  http::ResponseSink sink;
  int attempts = 0;
  std::set<std::string> tried;
};

Dispatcher::Dispatcher(const EntryOptions& options, const ProcessContext& context, Session& session,
                       ControlLink& control, http::Client& client)
    : options_(options),
      context_(context),
      session_(session),
      control_(control),
      loop_(kRingCapacity),
      owner_(context, session, client, loop_),
      peers_(options.vm) {}

Dispatcher::~Dispatcher() { Stop(); }

void Dispatcher::Start() {
  loop_.Start(kTickInterval, [this] { Tick(); });
}

void Dispatcher::Stop() { loop_.Stop(); }

void Dispatcher::ServeCaller(http::Request request, const http::ResponseSink& sink) {
  auto shared = std::make_shared<http::Request>(std::move(request));
  const bool queued = loop_.TryPost([this, shared, sink] { Begin(*shared, sink); });
  if (!queued) sink(Unavailable("this entry is overloaded"));
}

void Dispatcher::Begin(const http::Request& request, const http::ResponseSink& sink) {
  const ViewPtr view = session_.view();
  if (!session_.IsActive(base::MonotonicNow())) {
    return sink(Unavailable("this entry has no lease from control; use another entry"));
  }
  auto checked = CheckCallerRequest(request, *view, base::WallNowMillis());
  if (!checked) {
    const auto& error = checked.error();
    return sink(error.code == base::ErrorCode::kNotFound ? NotFound(error.message)
                                                         : BadRequest(error.message));
  }
  auto flow = std::make_shared<Flow>();
  flow->request = std::move(checked.value());
  flow->sink = sink;
  Route(flow);
}

void Dispatcher::Route(const std::shared_ptr<Flow>& flow) {
  ++flow->attempts;
  std::string data_centre;
  const std::string owner = ChooseOwner(*flow, data_centre);
  auto& request = flow->request.forward;
  request.set_data_centre(data_centre);
  if (owner.empty()) {
    rpc::ForwardReply refusal;
    refusal.set_verdict(std::string(base::ToString(base::Verdict::kNotRun)));
    refusal.set_reason("no_slot");
    refusal.set_retry_after_ms(100);
    return Answer(flow, refusal);
  }
  flow->tried.insert(owner + "\n" + data_centre);
  auto done = [this, flow](base::Result<rpc::ForwardReply> reply) {
    loop_.Post([this, flow, reply = std::move(reply)] { Forwarded(flow, reply); });
  };
  if (owner == options_.vm) {
    owner_.Execute(request, [this, flow](auto reply) { Forwarded(flow, std::move(reply)); });
    return;
  }
  const auto peer = peers_.Find(owner);
  const auto left = std::chrono::milliseconds(request.deadline_unix_ms() - base::WallNowMillis());
  peer->Forward(request, std::max<base::Duration>(left, base::Duration(1)), std::move(done));
}

void Dispatcher::Forwarded(const std::shared_ptr<Flow>& flow,
                           base::Result<rpc::ForwardReply> reply) {
  if (!reply) {
    rpc::ForwardReply lost;
    lost.set_verdict(std::string(base::ToString(base::Verdict::kMayHaveRun)));
    lost.set_reason("entry_lost");
    return Answer(flow, lost);
  }
  const auto& value = reply.value();
  if (VerdictOf(value) == base::Verdict::kNotRun && flow->attempts < kMaxAttempts) {
    return Route(flow);
  }
  Answer(flow, value);
}

void Dispatcher::Answer(const std::shared_ptr<Flow>& flow, const rpc::ForwardReply& reply) {
  const base::Verdict verdict = VerdictOf(reply);
  const std::string name(base::ToString(verdict));
  context_.metrics.CounterAt("wagtailpick_requests_total", "verdict=\"" + name + "\"").Add();
  const auto& request = flow->request.forward;
  if (verdict != base::Verdict::kRan) {
    ErrorInfo info;
    info.status = verdict == base::Verdict::kNotRun ? 503 : 502;
    info.reason = reply.reason();
    info.message =
        verdict == base::Verdict::kNotRun ? "the request was not run" : "the request may have run";
    info.verdict = verdict;
    info.attempt_verdict = verdict;
    info.request_id = request.request_id();
    info.retry_after_ms = std::max(reply.retry_after_ms(), 100U);
    return flow->sink(ErrorAnswer(info));
  }
  http::Response response;
  response.status = static_cast<int>(reply.status());
  for (const auto& header : reply.headers()) {
    response.headers.push_back({header.name(), header.value()});
  }
  response.headers.push_back({"X-Wagtailpick-Verdict", name});
  response.headers.push_back({"X-Wagtailpick-Request-Id", request.request_id()});
  response.body = reply.body();
  flow->sink(std::move(response));
}

std::string Dispatcher::ChooseOwner(const Flow& flow, std::string& data_centre) const {
  const ViewPtr view = session_.view();
  const auto& service = flow.request.forward.service();
  const auto now = base::MonotonicNow();
  std::string best;
  std::uint32_t best_score = 0;
  const auto consider = [&](const std::string& vm, const rpc::PlaceSummary& place) {
    const std::string& centre = place.data_centre();
    if (place.service() != service || place.free_slots() == 0) return;
    if (view->bundle.IsDrained(service, centre)) return;
    if (flow.tried.contains(vm + "\n" + centre)) return;
    // Shifts to other regions need a cap share, which isn't granted yet.
    if (view->bundle.RegionOf(centre) != options_.region) return;
    const std::uint32_t score = place.free_slots() + (vm == options_.vm ? 1'000 : 0);
    if (score <= best_score) return;
    best = vm;
    best_score = score;
    data_centre = centre;
  };
  for (const auto& place : owner_.Summaries()) consider(options_.vm, place);
  for (const auto& [vm, peer] : summaries_) {
    if (now - peer.received > kSummaryMaxAge || peers_.Find(vm) == nullptr) continue;
    for (const auto& place : peer.summary.places()) consider(vm, place);
  }
  return best;
}

void Dispatcher::ServeAnnouncement(const http::Request& request, const http::ResponseSink& sink) {
  auto announcement = ParseAnnouncement(request.body);
  if (!announcement) return sink(BadRequest(announcement.error().message));
  auto answer = [sink](base::Result<rpc::AnnounceReply> reply) {
    if (!reply) return sink(Unavailable(reply.error().message));
    const nlohmann::json body{{"owner", reply.value().owner_vm()}, {"next_ms", 500}};
    sink({200, {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}}, body.dump()});
  };
  const bool queued =
      loop_.TryPost([this, value = announcement.value(), answer] { Announce(value, answer); });
  if (!queued) sink(Unavailable("this entry is overloaded"));
}

void Dispatcher::Announce(const rpc::AnnounceRequest& announcement,
                          rpc::Responder<rpc::AnnounceReply> done) {
  if (!session_.IsActive(base::MonotonicNow())) {
    return done(base::Fail(base::ErrorCode::kUnavailable, "this entry has no lease"));
  }
  if (owner_.Owns(announcement.service(), announcement.address())) {
    owner_.TakeAnnouncement(announcement);
    rpc::AnnounceReply reply;
    reply.set_owner_vm(options_.vm);
    return done(std::move(reply));
  }
  const std::string owner = PreferredOwner(announcement);
  const auto peer = peers_.Find(owner);
  if (peer == nullptr || announcement.hops() >= kMaxAnnounceHops) {
    return RequestOwnership(announcement, done);
  }
  rpc::AnnounceRequest passed_on = announcement;
  passed_on.set_hops(announcement.hops() + 1);
  peer->Announce(passed_on, kPeerTimeout, std::move(done));
}

std::string Dispatcher::PreferredOwner(const rpc::AnnounceRequest& announcement) const {
  const ViewPtr view = session_.view();
  const std::string region = view->bundle.RegionOf(announcement.data_centre());
  std::string best;
  std::pair<int, std::string> best_rank;
  for (const auto& member : view->members) {
    if (member.draining) continue;
    int distance = member.region == region ? 1 : 2;
    if (member.data_centre == announcement.data_centre()) distance = 0;
    // Rendezvous hashing: every entry picks the same owner without further messages.
    const std::pair<int, std::string> rank{
        distance, base::DigestHex(member.vm + "\n" + announcement.address())};
    if (!best.empty() && best_rank <= rank) continue;
    best = member.vm;
    best_rank = rank;
  }
  return best;
}

void Dispatcher::RequestOwnership(const rpc::AnnounceRequest& announcement,
                                  const rpc::Responder<rpc::AnnounceReply>& done) {
  rpc::OwnRequest request;
  request.set_vm(options_.vm);
  request.set_session_epoch(session_.epoch());
  request.set_service(announcement.service());
  request.set_address(announcement.address());
  request.set_incarnation(announcement.incarnation());
  control_.Own(request, [this, announcement, done](base::Result<rpc::OwnReply> reply) {
    if (!reply) return done(boost::outcome_v2::failure(reply.error()));
    const rpc::OwnReply& value = reply.value();
    rpc::AnnounceReply answer;
    answer.set_owner_vm(value.owner_vm());
    if (value.granted()) {
      const auto quarantine = std::chrono::milliseconds(value.quarantine() ? 10'100 : 0);
      loop_.Post([this, announcement, epoch = value.epoch(), quarantine] {
        owner_.TakeOwnership(announcement, epoch, quarantine);
      });
    }
    done(std::move(answer));
  });
}

rpc::EntryHandlers Dispatcher::Handlers() {
  rpc::EntryHandlers handlers;
  handlers.forward = [this](const rpc::ForwardRequest& request, auto done) {
    const bool queued = loop_.TryPost([this, request, done] { owner_.Execute(request, done); });
    if (!queued) done(base::Fail(base::ErrorCode::kLimitExceeded, "this entry is overloaded"));
  };
  handlers.announce = [this](const rpc::AnnounceRequest& request, auto done) {
    const bool queued = loop_.TryPost([this, request, done] { Announce(request, done); });
    if (!queued) done(base::Fail(base::ErrorCode::kLimitExceeded, "this entry is overloaded"));
  };
  handlers.summarize = [this](const rpc::Summary& summary, auto done) {
    loop_.TryPost([this, summary] {
      auto& known = summaries_[summary.vm()];
      known.summary = summary;
      known.received = base::MonotonicNow();
    });
    done(rpc::Empty());
  };
  return handlers;
}

void Dispatcher::ViewChanged() {
  loop_.TryPost([this] {
    const ViewPtr view = session_.view();
    if (view != nullptr) peers_.Update(*view);
  });
}

void Dispatcher::Tick() {
  owner_.Tick(base::MonotonicNow());
  SendSummaries();
}

void Dispatcher::SendSummaries() {
  rpc::Summary summary;
  summary.set_vm(options_.vm);
  summary.set_session_epoch(session_.epoch());
  summary.set_sequence(++summary_sequence_);
  for (auto& place : owner_.Summaries()) *summary.add_places() = std::move(place);
  for (const auto& [vm, peer] : peers_.all()) {
    peer->Summarize(summary, kPeerTimeout, [](const base::Result<rpc::Empty>&) {});
  }
}

}  // namespace wagtailpick::entry
