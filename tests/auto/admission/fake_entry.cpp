#include "fake_entry.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::admission {

using membership::LocalTime;

namespace {

/// Returns a random delay between sending a request or answer and its arrival.
SimTime NetworkDelay(Schedule& schedule) { return schedule.Between(kMs / 5, 5 * kMs); }

}  // namespace

FakeEntry::FakeEntry(Schedule& schedule, FakeControl& control, std::vector<FakeUpstream*> upstreams)
    : schedule_(schedule),
      control_(control),
      upstreams_(std::move(upstreams)),
      clock_(schedule.random) {
  StartProcess();
}

void FakeEntry::StartProcess() {
  process_ = std::make_shared<Process>();
  process_->table.SetService("payment", {4, schedule_.deadline_ms, schedule_.deadline_ms, 20});
  process_->lease.StartSession(control_.OpenSession());
}

void FakeEntry::Post(SimTime at, std::function<void()> run) {
  schedule_.queue.Post(at, [this, run = std::move(run), process = std::weak_ptr(process_)] {
    if (process.expired()) return;
    if (schedule_.queue.now() >= paused_until_) return run();
    Post(paused_until_, run);
  });
}

void FakeEntry::Renew() {
  if (schedule_.queue.now() < paused_until_) return;
  const SimTime sent = schedule_.queue.now();
  const Renewal renewal = process_->lease.StartRenewal(now().monotonic);
  if (sent < disconnected_until_ || schedule_.Chance(5)) return;
  schedule_.queue.Post(
      sent + schedule_.MessageDelay(), [this, renewal, process = std::weak_ptr(process_)] {
        const bool granted = control_.Renew(renewal.epoch);
        const auto grants = control_.Grants(renewal.epoch);
        if (process.expired() || schedule_.Chance(5)) return;
        Post(schedule_.queue.now() + schedule_.MessageDelay(),
             [this, renewal, granted, grants] { OnRenewalReply(renewal, granted, grants); });
      });
}

void FakeEntry::OnRenewalReply(Renewal renewal, bool granted,
                               const std::vector<OwnershipGrant>& grants) {
  if (!granted) {
    if (renewal.epoch != process_->lease.epoch()) return;
    process_->lease.OnEnded(renewal);
    process_->lease.StartSession(control_.OpenSession());
    process_->table.EndEpochsBefore(process_->lease.epoch());
    process_->handed_over.clear();
    process_->handing_over.clear();
    return;
  }
  if (schedule_.fault == Fault::kLeaseFromReply) renewal.sent_at = now().monotonic;
  if (schedule_.fault == Fault::kLeaseNeverEnds) renewal.sent_at += std::chrono::seconds(30);
  if (process_->lease.OnGranted(renewal, now().monotonic) == RenewalEffect::kOldEpoch) return;
  ApplyGrants(grants);
}

void FakeEntry::OnGrant(const OwnershipGrant& grant) {
  if (grant.epoch != epoch() || schedule_.Chance(20)) return;
  Post(schedule_.queue.now() + NetworkDelay(schedule_), [this, grant] {
    if (grant.epoch == epoch()) ApplyGrants({grant});
  });
}

void FakeEntry::ApplyGrants(const std::vector<OwnershipGrant>& grants) {
  for (const OwnershipGrant& grant : grants) {
    if (process_->table.Grant(grant, now()) != GrantEffect::kGranted) continue;
    const membership::Upstream* seen = process_->registry.Find(grant.address);
    if (seen != nullptr) process_->table.ApplyAnnouncement(*seen, now());
  }
}

void FakeEntry::OnAnnouncement(const membership::Announcement& announcement) {
  Post(schedule_.queue.now(), [this, announcement] {
    auto seen = announcement;
    if (schedule_.fault == Fault::kAgeFromReceipt) {
      seen = membership::Announcement::Create({seen.service(), seen.address(), seen.place(),
                                               std::string(membership::ToString(seen.state())),
                                               static_cast<std::int64_t>(seen.incarnation()),
                                               static_cast<std::int64_t>(seen.sequence()),
                                               seen.slots(), seen.connections(), seen.load(),
                                               now().wall_ms + 99})
                 .value();
    }
    const auto applied = process_->registry.Apply(seen, now());
    if (applied.status != membership::ApplyStatus::kApplied) return;
    const bool restarted = std::any_of(
        applied.changes.begin(), applied.changes.end(),
        [](const auto& change) { return change.kind == membership::ChangeKind::kRestarted; });
    const OwnedUpstream* owned = process_->table.Find(seen.address());
    if (restarted && owned != nullptr && schedule_.fault == Fault::kRestartFreesSlots) {
      OwnershipGrant grant = owned->grant();
      grant.quarantine = false;
      ++grant.grant_id;
      process_->table.Grant(grant, now());
    }
    process_->table.ApplyAnnouncement(*process_->registry.Find(seen.address()), now());
  });
}

void FakeEntry::SendRequests() {
  if (schedule_.queue.now() < paused_until_) return;
  for (FakeUpstream* upstream : upstreams_) {
    if (process_->table.Find(upstream->address()) == nullptr) continue;
    const bool pause = schedule_.random() % 1000 == 0;
    if (pause) paused_until_ = schedule_.queue.now() + schedule_.Between(kMs, 3'000 * kMs);
    const SimTime wall_read = schedule_.queue.now();
    Post(wall_read, [this, upstream, wall_read] { Acquire(*upstream, wall_read); });
    if (pause) return;
  }
}

void FakeEntry::Acquire(FakeUpstream& upstream, SimTime wall_read) {
  const std::int64_t wall_ms = clock_.WallMs(wall_read);
  const LocalTime time{wall_ms, now().monotonic};
  // The deadline was computed from the wall clock of another entry.
  const std::int64_t deadline =
      wall_ms + (schedule_.Chance(70) ? schedule_.deadline_ms + schedule_.Between(-99, 99)
                                      : schedule_.Between(20, schedule_.deadline_ms));
  const Acquisition acquired =
      process_->table.Acquire(upstream.address(), {deadline, false}, process_->lease, time);
  if (!acquired) return;
  const SimTime at = schedule_.queue.now();
  if (wall_read == at && at > upstream.last_up() + 2'000 * kMs) ++schedule_.result.late_tickets;
  const SimTime stall =
      schedule_.Chance(3) ? schedule_.Between(kMs, 1'200 * schedule_.deadline_ms) : 0;
  if (stall > 0 && schedule_.Chance(50)) paused_until_ = at + stall;
  Post(at + stall, [this, &upstream, ticket = acquired.ticket] { Send(upstream, ticket); });
}

void FakeEntry::Send(FakeUpstream& upstream, const SlotTicket& ticket) {
  // The request arrives even if this entry is paused or killed after sending it.
  schedule_.queue.Post(
      schedule_.queue.now() + NetworkDelay(schedule_),
      [this, &upstream, ticket, process = std::weak_ptr(process_)] {
        const bool lost = schedule_.Chance(5);
        const auto reply = [this, ticket, process](SlotOutcome outcome) {
          if (process.expired()) return;
          Post(schedule_.queue.now() + NetworkDelay(schedule_),
               [this, ticket, outcome] { Release(ticket, outcome); });
        };
        const Arrival arrival = upstream.HandleRequest(ticket, [lost, reply](bool complete) {
          reply(complete && !lost ? SlotOutcome::kAnswered : SlotOutcome::kLost);
        });
        if (arrival == Arrival::kRefusedConnection) reply(SlotOutcome::kConnectRefused);
        if (arrival == Arrival::kRefusedRequest) reply(SlotOutcome::kShed);
        // The connection is lost while the request continues to run.
        if (arrival == Arrival::kRunning && schedule_.Chance(3)) reply(SlotOutcome::kLost);
      });
  Post(std::max(schedule_.queue.now(), clock_.WhenWallShows(ticket.deadline_unix_ms)),
       [this, ticket] { Release(ticket, SlotOutcome::kTimedOut); });
}

void FakeEntry::Release(const SlotTicket& ticket, SlotOutcome outcome) {
  const bool free_at_once =
      schedule_.fault == Fault::kInDoubtFreesSlot && LeavesSlotInDoubt(outcome);
  if (free_at_once) outcome = SlotOutcome::kAnswered;
  process_->table.Release(ticket, {outcome, std::chrono::milliseconds(50)}, now());
}

void FakeEntry::Tick() {
  if (schedule_.queue.now() < paused_until_) return;
  process_->registry.Tick(now());
  process_->table.Tick(now());
  HandOver();
}

void FakeEntry::HandOver() {
  std::erase_if(process_->handing_over, [this](const std::string& address) {
    const OwnedUpstream* owned = process_->table.Find(address);
    if (owned == nullptr) return true;
    const bool idle = process_->table.IsIdle(address, now());
    if (!idle && schedule_.fault != Fault::kBusyHandover) return false;
    const std::uint64_t grant_id = owned->grant().grant_id;
    process_->table.EndOwnership(address, grant_id);
    process_->handed_over.emplace_back(address, grant_id);
    return true;
  });
  // Repeated on every tick, since the message can be lost. A copy that arrives late must have no
  // effect.
  for (const auto& [address, grant_id] : process_->handed_over) {
    if (schedule_.Chance(50)) continue;
    schedule_.queue.Post(
        schedule_.queue.now() + schedule_.MessageDelay(),
        [this, address = address, grant_id = grant_id] { control_.Disown(address, grant_id); });
  }
}

void FakeEntry::InjectFault() {
  const SimTime at = schedule_.queue.now();
  switch (schedule_.random() % 10) {
    case 0:
      StartProcess();
      return;
    case 1:
      paused_until_ = std::max(paused_until_, at + schedule_.Between(10 * kMs, 6'000 * kMs));
      return;
    case 2:
    case 3:
      disconnected_until_ = at + schedule_.Between(100 * kMs, 6'000 * kMs);
      return;
    case 4:
    case 5: {
      const std::string& address = upstreams_[schedule_.random() % upstreams_.size()]->address();
      if (process_->table.BeginHandover(address, now())) process_->handing_over.push_back(address);
      return;
    }
    default:
      return;
  }
}

}  // namespace wagtailpick::admission
