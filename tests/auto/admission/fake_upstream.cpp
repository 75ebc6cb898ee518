#include "fake_upstream.h"

#include <algorithm>

namespace wagtailpick::admission {

using membership::AnnouncedState;

namespace {

/// How long an announced slot count or the state "up" may be relied on.
constexpr SimTime kAnnouncementLifetime = 2'000 * kMs;

}  // namespace

FakeUpstream::FakeUpstream(Schedule& schedule, std::string address)
    : schedule_(schedule), address_(std::move(address)), clock_(schedule.random) {
  Start();
}

void FakeUpstream::Start() {
  alive_ = true;
  ++incarnation_;
  sequence_ = 0;
  slots_ = schedule_.Between(1, 4);
  state_ = AnnouncedState::kUp;
}

void FakeUpstream::Crash() {
  alive_ = false;
  running_ = 0;
  schedule_.queue.Post(schedule_.queue.now() + schedule_.Between(20 * kMs, 3'000 * kMs),
                       [this] { Start(); });
}

std::uint32_t FakeUpstream::AllowedSlots() const {
  const SimTime oldest = schedule_.queue.now() - kAnnouncementLifetime;
  std::uint32_t allowed = 0;
  for (const auto& [sent, slots] : announced_) {
    if (sent >= oldest) allowed = std::max(allowed, slots);
  }
  return allowed;
}

Arrival FakeUpstream::HandleRequest(const SlotTicket& ticket, std::function<void(bool)> done) {
  const SimTime now = schedule_.queue.now();
  if (!alive_) return Arrival::kRefusedConnection;
  const std::int64_t wall = clock_.WallMs(now);
  const bool expired = wall >= ticket.deadline_unix_ms;
  if (expired && schedule_.fault != Fault::kExpiredRequestsRun) return Arrival::kRefusedRequest;
  const bool late = wall >= ticket.start_by_unix_ms && !expired;
  if (late && schedule_.fault != Fault::kNoStartBy) return Arrival::kRefusedRequest;
  ++schedule_.result.runs;
  ++running_;
  if (running_ > AllowedSlots()) ++schedule_.result.slots_exceeded;
  if (now > last_up_ + kAnnouncementLifetime) ++schedule_.result.late_work;
  const SimTime deadline = std::max(clock_.WhenWallShows(ticket.deadline_unix_ms), now + kMs);
  const bool hangs = schedule_.Chance(20);
  const SimTime end =
      hangs ? deadline : std::min(deadline, now + schedule_.Between(5 * kMs, 300 * kMs));
  schedule_.queue.Post(end, [this, done = std::move(done), incarnation = incarnation_] {
    const bool same = alive_ && incarnation_ == incarnation;
    if (same) --running_;
    done(same);
  });
  return Arrival::kRunning;
}

std::optional<membership::Announcement> FakeUpstream::Announce() {
  if (!alive_) return std::nullopt;
  const SimTime now = schedule_.queue.now();
  membership::AnnouncementFields fields;
  fields.service = "payment";
  fields.address = address_;
  fields.place = "mvd-1";
  fields.state = membership::ToString(state_);
  fields.incarnation = incarnation_;
  fields.sequence = ++sequence_;
  fields.slots = slots_;
  fields.connections = 330;
  fields.load = running_;
  fields.sent_unix_ms = clock_.WallMs(now);
  if (state_ == AnnouncedState::kUp) last_up_ = now;
  announced_.emplace_back(now, static_cast<std::uint32_t>(slots_));
  while (announced_.front().first < now - 2 * kAnnouncementLifetime) announced_.pop_front();
  return membership::Announcement::Create(fields).value();
}

void FakeUpstream::ChangeState() {
  if (!alive_) return;
  switch (schedule_.random() % 14) {
    case 0:
    case 1:
      return Crash();
    case 2:
      slots_ = schedule_.Between(1, 4);
      return;
    case 3:
      state_ = AnnouncedState::kDraining;
      return;
    case 4:
    case 6:
    case 7:
    case 8:
      if (state_ == AnnouncedState::kDraining) state_ = AnnouncedState::kUp;
      return;
    case 5:
      state_ = AnnouncedState::kLeaving;
      schedule_.queue.Post(schedule_.queue.now() + schedule_.Between(2'000 * kMs, 8'000 * kMs),
                           [this, incarnation = incarnation_] {
                             if (alive_ && incarnation_ == incarnation) Crash();
                           });
      return;
    default:
      return;
  }
}

}  // namespace wagtailpick::admission
