#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "admission/session_lease.h"
#include "admission/slot_table.h"
#include "fake_control.h"
#include "fake_upstream.h"
#include "membership/upstream_registry.h"
#include "schedule.h"

namespace wagtailpick::admission {

/// An owner entry that drives the libraries as a daemon would. It can be paused as a whole, paused
/// between reading its clocks, stalled between a ticket and the sending, cut off from control, and
/// killed.
class FakeEntry {
 public:
  FakeEntry(Schedule& schedule, FakeControl& control, std::vector<FakeUpstream*> upstreams);

  void Renew();
  void SendRequests();
  void OnGrant(const OwnershipGrant& grant);
  void OnAnnouncement(const membership::Announcement& announcement);
  void Disturb();
  void Tick();

  std::uint64_t epoch() const { return process_->lease.epoch(); }

 private:
  /// What a killed entry loses.
  struct Process {
    SessionLease lease;
    membership::UpstreamRegistry registry;
    SlotTable table;
    std::vector<std::pair<std::string, std::uint64_t>> handed_over;
    std::vector<std::string> handing_over;
  };

  /// Runs `run` at `at`, later when this entry is paused then, never when it is killed before.
  void Post(SimTime at, std::function<void()> run);
  membership::LocalTime now() const { return clock_.At(schedule_.queue.now()); }
  void StartProcess();
  void OnRenewalReply(Renewal renewal, bool granted, const std::vector<OwnershipGrant>& grants);
  void TakeGrants(const std::vector<OwnershipGrant>& grants);
  /// Asks for a slot with a wall clock that was read at `wall_read`.
  void Acquire(FakeUpstream& upstream, SimTime wall_read);
  void Send(FakeUpstream& upstream, const SlotTicket& ticket);
  void End(const SlotTicket& ticket, SlotOutcome outcome);
  void HandOver();

  Schedule& schedule_;
  FakeControl& control_;
  std::vector<FakeUpstream*> upstreams_;
  SimClock clock_;
  std::shared_ptr<Process> process_;
  SimTime paused_until_ = 0;
  SimTime cut_off_until_ = 0;
};

}  // namespace wagtailpick::admission
