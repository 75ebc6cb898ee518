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

/// Simulates an entry that owns upstreams and uses the libraries as the daemon does. It can be
/// paused, paused between reading the wall clock and the monotonic clock, delayed between getting a
/// ticket and sending the request, disconnected from control, and killed.
class FakeEntry {
 public:
  FakeEntry(Schedule& schedule, FakeControl& control, std::vector<FakeUpstream*> upstreams);

  void Renew();
  void SendRequests();
  void OnGrant(const OwnershipGrant& grant);
  void OnAnnouncement(const membership::Announcement& announcement);
  /// Injects a random fault, or starts to hand over an upstream.
  void InjectFault();
  void Tick();

  std::uint64_t epoch() const { return process_->lease.epoch(); }

 private:
  /// State that is lost when the entry is killed.
  struct Process {
    SessionLease lease;
    membership::UpstreamRegistry registry;
    SlotTable table;
    std::vector<std::pair<std::string, std::uint64_t>> handed_over;
    std::vector<std::string> handing_over;
  };

  /// Runs `run` at `at`, or when the entry resumes if it is paused then. Not run if the entry is
  /// killed before.
  void Post(SimTime at, std::function<void()> run);
  membership::LocalTime now() const { return clock_.At(schedule_.queue.now()); }
  void StartProcess();
  void OnRenewalReply(Renewal renewal, bool granted, const std::vector<OwnershipGrant>& grants);
  void ApplyGrants(const std::vector<OwnershipGrant>& grants);
  /// Acquires a slot for a request, using the wall-clock time as it was at `wall_read`.
  void Acquire(FakeUpstream& upstream, SimTime wall_read);
  void Send(FakeUpstream& upstream, const SlotTicket& ticket);
  void Release(const SlotTicket& ticket, SlotOutcome outcome);
  /// Ends ownerships whose upstream has become idle and reports them to control.
  void HandOver();

  Schedule& schedule_;
  FakeControl& control_;
  std::vector<FakeUpstream*> upstreams_;
  SimClock clock_;
  std::shared_ptr<Process> process_;
  SimTime paused_until_ = 0;
  SimTime disconnected_until_ = 0;
};

}  // namespace wagtailpick::admission
