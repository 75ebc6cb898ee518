#include "entry/owner.h"

#include <algorithm>
#include <utility>

#include "base/random_id.h"
#include "base/verdict.h"
#include "entry/decision_answer.h"
#include "entry/local_time.h"
#include "entry/upstream_request.h"

namespace wagtailpick::entry {
namespace {

constexpr std::uint32_t kNoSlotRetryMs = 100;
constexpr std::uint32_t kSuspectRetryMs = 1'000;
constexpr std::uint32_t kBlockedRetryMs = 600'000;

timeline::EventKind KindOf(membership::ChangeKind kind) {
  using membership::ChangeKind;
  using timeline::EventKind;
  switch (kind) {
    case ChangeKind::kRestarted:
      return EventKind::kUpstreamRestarted;
    case ChangeKind::kDraining:
    case ChangeKind::kLeaving:
      return EventKind::kUpstreamDraining;
    case ChangeKind::kSilent:
      return EventKind::kUpstreamSilent;
    case ChangeKind::kWithdrawn:
    case ChangeKind::kForgotten:
      return EventKind::kUpstreamLeft;
    default:
      return EventKind::kUpstreamSeen;
  }
}

}  // namespace

Owner::Owner(const ProcessContext& context, const Session& session, http::Client& client,
             SuspectTracker& suspects, base::EventLoop& loop)
    : context_(context), session_(session), client_(client), suspects_(suspects), loop_(loop) {}

void Owner::SetView(const View& view) {
  const auto now = Now();
  for (const auto& service : view.bundle.services) {
    admission::ServiceLimits limits;
    limits.max_slots = static_cast<std::uint32_t>(service.max_slots);
    limits.request_deadline_ms = service.request_deadline_ms;
    const auto longest = view.longest_deadlines.find(service.name);
    limits.longest_deadline_ms = longest == view.longest_deadlines.end()
                                     ? service.request_deadline_ms
                                     : std::max(longest->second, service.request_deadline_ms);
    limits.shift_headroom_percent = static_cast<std::uint32_t>(view.bundle.shift_headroom_percent);
    slots_.SetService(service.name, limits);
    for (const auto& region : view.bundle.regions) {
      for (const auto& centre : region.data_centres) {
        slots_.SetDrained({service.name, centre}, view.bundle.IsDrained(service.name, centre), now);
      }
    }
  }
  for (const auto& [pool, addresses] : pools_) {
    if (view.bundle.FindService(pool.service) == nullptr) slots_.RemoveService(pool.service);
  }
  const auto epoch = session_.lease().epoch();
  if (epoch == epoch_) return;
  epoch_ = epoch;
  slots_.EndEpochsBefore(epoch);
  RemoveUnownedAddresses();
}

bool Owner::Owns(const std::string& address) const { return slots_.Find(address) != nullptr; }

void Owner::ApplyGrant(const membership::Announcement& announcement, std::uint64_t grant_id,
                       bool quarantine) {
  const auto now = Now();
  RecordChanges(registry_.Apply(announcement, now).changes);
  admission::OwnershipGrant grant;
  grant.address = announcement.address();
  grant.service = announcement.service();
  grant.place = announcement.place();
  grant.grant_id = grant_id;
  grant.epoch = session_.lease().epoch();
  grant.quarantine = quarantine;
  // A quarantine means that this incarnation of the upstream had an owner before, so its caches are
  // warm. A slow start would withhold most of its slots for up to 30 s per slot.
  grant.warm = quarantine;
  if (slots_.Grant(std::move(grant), now) != admission::GrantEffect::kGranted) return;
  const auto* seen = registry_.Find(announcement.address());
  if (seen != nullptr) slots_.ApplyAnnouncement(*seen, now);
  auto& pool = pools_[{announcement.service(), announcement.place()}];
  if (std::find(pool.begin(), pool.end(), announcement.address()) == pool.end()) {
    pool.push_back(announcement.address());
  }
  context_.events.Record(now.wall_ms, timeline::EventKind::kOwnershipGranted,
                         announcement.address(),
                         announcement.service() + (quarantine ? ", quarantined" : ""));
}

void Owner::ApplyAnnouncement(const membership::Announcement& announcement) {
  const auto now = Now();
  const auto applied = registry_.Apply(announcement, now);
  if (applied.status != membership::ApplyStatus::kApplied) {
    const std::string status(membership::ToString(applied.status));
    context_.metrics
        .CounterAt("wagtailpick_announcements_ignored_total", "status=\"" + status + "\"")
        .Add();
    return;
  }
  RecordChanges(applied.changes);
  const auto* seen = registry_.Find(announcement.address());
  if (seen != nullptr) slots_.ApplyAnnouncement(*seen, now);
  suspects_.RecordAnnouncement({announcement.address(), announcement.incarnation()},
                               announcement.sequence());
}

void Owner::Execute(const rpc::ForwardRequest& request, rpc::Responder<rpc::ForwardReply> done) {
  const auto fingerprint = FingerprintOf(request);
  suspects_.DecideSend(fingerprint, request.deadline_unix_ms(),
                       [this, request, done = std::move(done)](SendDecision decision) {
                         switch (decision) {
                           case SendDecision::kSend:
                             return Send(request, done);
                           case SendDecision::kBlocked:
                             return done(RefusalReply(request, base::Verdict::kMayHaveRun,
                                                      "blocked_request", kBlockedRetryMs));
                           case SendDecision::kTrialRunning:
                             return done(RefusalReply(request, base::Verdict::kNotRun,
                                                      "suspect_request", kSuspectRetryMs));
                           case SendDecision::kUnavailable:
                             return done(RefusalReply(request, base::Verdict::kNotRun,
                                                      "trial_unavailable", kSuspectRetryMs));
                         }
                       });
}

std::string Owner::ChooseAddress(const admission::PoolKey& pool, bool prefer_idle) {
  const auto now = Now();
  std::vector<routing::UpstreamState> states;
  std::map<routing::UpstreamId, std::string> addresses;
  const auto members = pools_.find(pool);
  if (members == pools_.end()) return {};
  for (const auto& address : members->second) {
    const auto* owned = slots_.Find(address);
    if (owned == nullptr) continue;
    routing::UpstreamState state;
    state.id = ids_.IdOf(address);
    state.slots_in_use = owned->slots().taken();
    state.usable_slots = state.slots_in_use + owned->FreeSlots(now);
    state.accepts_work = owned->RefusalReason(now) == admission::Refusal::kNone;
    states.push_back(state);
    addresses[state.id] = address;
  }
  const auto chosen = chooser_.Choose(states, now.monotonic, prefer_idle);
  return chosen ? addresses[*chosen] : std::string();
}

admission::Acquisition Owner::Acquire(const rpc::ForwardRequest& request, std::string& address) {
  const admission::PoolKey pool{request.service(), request.data_centre()};
  const admission::SlotRequest slot_request{request.deadline_unix_ms(), request.shifted()};
  const auto lease = session_.lease();
  address = ChooseAddress(pool, request.trial());
  if (address.empty()) return {admission::Refusal::kNoFreeSlot, {}};
  return slots_.Acquire(address, slot_request, lease, Now());
}

void Owner::Send(const rpc::ForwardRequest& request,
                 const rpc::Responder<rpc::ForwardReply>& done) {
  std::string address;
  const auto acquired = Acquire(request, address);
  if (!acquired) {
    return done(RefusalReply(request, base::Verdict::kNotRun, admission::ToString(acquired.refusal),
                             kNoSlotRetryMs));
  }
  const auto& ticket = acquired.ticket;
  const auto* seen = registry_.Find(address);
  RunningRequest run{request, done, ticket, address, 0, 0, base::MonotonicNow()};
  if (seen != nullptr) {
    run.incarnation = seen->announcement.incarnation();
    run.sequence = seen->announcement.sequence();
  }
  running_.emplace(ticket.serial, std::move(run));
  const bool started = client_.Send(
      ToUpstreamRequest(request, address, ticket),
      [this, serial = ticket.serial](http::Exchange exchange) {
        loop_.Post([this, serial, exchange = std::move(exchange)] { Finish(serial, exchange); });
      });
  if (started) return;
  running_.erase(ticket.serial);
  slots_.Release(ticket, {admission::SlotOutcome::kNotSent, {}}, Now());
  done(RefusalReply(request, base::Verdict::kNotRun, "overloaded", kNoSlotRetryMs));
}

void Owner::Finish(std::uint64_t serial, const http::Exchange& exchange) {
  const auto found = running_.find(serial);
  if (found == running_.end()) return;
  const RunningRequest run = std::move(found->second);
  running_.erase(found);
  const ExchangeOutcome outcome = ClassifyExchange(exchange, run.request.request_id());
  const auto now = Now();
  const auto latency = now.monotonic - run.started;
  slots_.Release(run.ticket, {outcome.slot_outcome, latency}, now);
  if (outcome.slot_outcome != admission::SlotOutcome::kNotSent &&
      outcome.slot_outcome != admission::SlotOutcome::kCancelled) {
    const bool ok = outcome.verdict == base::Verdict::kRan
                        ? outcome.slot_outcome == admission::SlotOutcome::kAnswered
                        : outcome.slot_outcome == admission::SlotOutcome::kShed;
    chooser_.Observe(ids_.IdOf(run.address), {latency, ok}, now.monotonic);
  }
  if (outcome.is_strike) {
    return RecordStrike(run, [this, run, exchange, outcome] { Answer(run, exchange, outcome); });
  }
  if (outcome.verdict == base::Verdict::kRan) {
    suspects_.RecordSuccess(FingerprintOf(run.request), run.address);
  }
  Answer(run, exchange, outcome);
}

void Owner::RecordStrike(const RunningRequest& run, const std::function<void()>& done) {
  auto& loss = losses_[run.address];
  if (loss.event_id.empty() || loss.incarnation != run.incarnation) {
    loss = {base::RandomId(), run.incarnation};
  }
  safety::LostConnection lost;
  lost.event_id = loss.event_id;
  lost.upstream = {run.address, run.incarnation};
  lost.announcement = run.sequence;
  suspects_.RecordStrike(FingerprintOf(run.request), lost, done);
}

void Owner::Answer(const RunningRequest& run, const http::Exchange& exchange,
                   const ExchangeOutcome& outcome) {
  rpc::ForwardReply reply;
  reply.set_request_id(run.request.request_id());
  reply.set_verdict(std::string(base::ToString(outcome.verdict)));
  reply.set_reason(outcome.reason);
  reply.set_upstream(run.address);
  reply.set_retry_after_ms(kSuspectRetryMs);
  if (outcome.verdict == base::Verdict::kRan) FillAnswer(exchange, reply);
  run.done(std::move(reply));
}

std::vector<rpc::PlaceSummary> Owner::Summaries() {
  const auto now = Now();
  const auto lease = session_.lease();
  std::vector<rpc::PlaceSummary> list;
  list.reserve(pools_.size());
  for (const auto& [pool, addresses] : pools_) {
    const auto counts = slots_.Counts(pool, lease, now);
    rpc::PlaceSummary summary;
    summary.set_service(pool.service);
    summary.set_data_centre(pool.place);
    summary.set_free_slots(counts.free);
    summary.set_total_slots(counts.total);
    summary.set_upstreams(counts.upstreams);
    summary.set_p50_us(static_cast<std::uint32_t>(chooser_.MedianAnswerLatency()));
    list.push_back(std::move(summary));
  }
  return list;
}

void Owner::Tick() {
  const auto now = Now();
  RecordChanges(registry_.Tick(now));
  for (const auto& idle : slots_.Tick(now)) {
    const auto drained =
        std::chrono::duration_cast<std::chrono::milliseconds>(idle.idle_since - idle.drain_started);
    context_.events.Record(now.wall_ms, timeline::EventKind::kUpstreamIdle, idle.address,
                           "drained in " + std::to_string(drained.count()) + " ms");
  }
}

void Owner::RecordChanges(const std::vector<membership::Change>& changes) {
  for (const auto& change : changes) {
    context_.events.Record(base::WallNowMillis(), KindOf(change.kind), change.address,
                           change.service + " " + std::string(membership::ToString(change.kind)));
    if (change.kind == membership::ChangeKind::kForgotten) Forget(change.address);
  }
}

void Owner::Forget(const std::string& address) {
  if (const auto id = ids_.Remove(address)) chooser_.Remove(*id);
  losses_.erase(address);
}

// An owned upstream gets a new id when it is considered after it was forgotten.
void Owner::RemoveUnownedAddresses() {
  for (auto& [pool, addresses] : pools_) {
    std::erase_if(addresses, [this](const auto& address) {
      if (Owns(address)) return false;
      if (registry_.Find(address) == nullptr) Forget(address);
      return true;
    });
  }
}

void Owner::BeginHandover() {
  for (const auto& [pool, addresses] : pools_) {
    for (const auto& address : addresses) slots_.BeginHandover(address, Now());
  }
}

std::vector<Owner::Released> Owner::ReleaseIdle() {
  std::vector<Released> released;
  for (const auto& [pool, addresses] : pools_) {
    for (const auto& address : addresses) {
      const auto* owned = slots_.Find(address);
      if (owned == nullptr || !slots_.IsIdle(address, Now())) continue;
      released.push_back({pool.service, address, owned->grant().grant_id});
    }
  }
  for (const auto& upstream : released) {
    slots_.EndOwnership(upstream.address, upstream.grant_id);
    context_.events.Record(base::WallNowMillis(), timeline::EventKind::kOwnershipEnded,
                           upstream.address, "handed over idle");
  }
  RemoveUnownedAddresses();
  return released;
}

}  // namespace wagtailpick::entry
