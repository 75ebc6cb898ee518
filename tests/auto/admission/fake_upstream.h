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

/// How an upstream responds to the arrival of a request.
enum class Arrival { kRefusedConnection, kRefusedRequest, kRunning };

/// Simulates an upstream that runs requests until their deadline at most, crashes, restarts under a
/// new incarnation, drains and leaves. It counts its running requests independently of the library
/// under test.
class FakeUpstream {
 public:
  FakeUpstream(Schedule& schedule, std::string address);

  /// Handles a request that arrives. If it runs, `done` is called at its end: with true if it
  /// completed, with false if the upstream crashed before.
  Arrival HandleRequest(const SlotTicket& ticket, std::function<void(bool)> done);

  /// Returns the next announcement, or nothing while the upstream is down.
  std::optional<membership::Announcement> Announce();

  /// Makes a random change: number of slots, drain, leave or crash (followed by a restart).
  void ChangeState();

  /// Time of the last announcement with the state "up".
  SimTime last_up() const { return last_up_; }
  const std::string& address() const { return address_; }

 private:
  void Start();
  void Crash();
  /// Returns the highest slot count that an entry may currently rely on.
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
  /// Recently announced slot counts with the time of the announcement.
  std::deque<std::pair<SimTime, std::uint32_t>> announced_;
};

}  // namespace wagtailpick::admission
