#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "admission/slot_ticket.h"
#include "membership/announcement.h"
#include "schedule.h"

namespace wagtailpick::admission {

/// What an upstream does with a request.
enum class Arrival { kRefusedConnection, kRefusedRequest, kRunning };

/// An upstream that runs requests up to their deadline, crashes, restarts under a new incarnation,
/// drains and leaves. It counts its running requests itself.
class FakeUpstream {
 public:
  FakeUpstream(Schedule& schedule, std::string address);

  /// Takes a request; `done` is called when it ends with true, or with false when the upstream
  /// crashed first.
  Arrival Take(const SlotTicket& ticket, std::function<void(bool)> done);

  /// Makes the next announcement; nothing while the upstream is down.
  std::optional<membership::Announcement> Announce();

  /// Changes state at random: slots, drain, leave, crash, restart.
  void ChangeState();

  /// Last instant at which an announcement said "up".
  SimTime last_up() const { return last_up_; }
  const std::string& address() const { return address_; }

 private:
  void Start();
  void Crash();
  std::uint32_t AllowedSlots() const;

  Schedule& schedule_;
  std::string address_;
  SimClock clock_;
  bool alive_ = false;
  std::int64_t incarnation_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t slots_ = 0;
  std::uint32_t running_ = 0;
  membership::AnnouncedState state_ = membership::AnnouncedState::kUp;
  SimTime last_up_ = 0;
  /// Announced slot counts with the time of sending.
  std::deque<std::pair<SimTime, std::uint32_t>> announced_;
};

}  // namespace wagtailpick::admission
