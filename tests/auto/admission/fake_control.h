#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "admission/ownership_grant.h"
#include "schedule.h"

namespace wagtailpick::admission {

/// Simulates the control leader's handling of sessions and ownership. A session ends one lease plus
/// the clock drift after the leader handled its last renewal; its upstreams are then given to other
/// sessions.
class FakeControl {
 public:
  explicit FakeControl(Schedule& schedule) : schedule_(schedule), clock_(schedule.random) {}

  /// Called with each new ownership record; delivers it to the entries without waiting for a
  /// renewal.
  std::function<void(const OwnershipGrant&)> on_grant;

  void AddUpstream(const std::string& address) { records_[address]; }

  /// Starts a session and returns its epoch.
  std::uint64_t OpenSession();

  /// Renews a session; returns false when it has ended.
  bool Renew(std::uint64_t epoch);

  /// Returns the ownership records of a session.
  std::vector<OwnershipGrant> Grants(std::uint64_t epoch) const;

  /// Ends an ownership whose upstream the owner handed over as idle; ignored unless `grant_id` is
  /// the current one.
  void Disown(const std::string& address, std::uint64_t grant_id);

  /// Ends sessions whose lease is over and assigns upstreams without an owner to other sessions.
  void Tick();

  /// Replaces the leader by one with another clock. It treats every session as renewed now, because
  /// it does not know when the old leader handled the last renewals.
  void ChangeLeader();

  /// Returns the session epoch of the owner of `address`; 0 when there is none.
  std::uint64_t OwnerEpoch(const std::string& address) const;

 private:
  struct Record {
    std::uint64_t epoch = 0;
    std::uint64_t grant_id = 0;
    bool quarantine = false;
  };

  base::MonotonicTime now() const { return clock_.Monotonic(schedule_.queue.now()); }
  OwnershipGrant GrantOf(const std::string& address, const Record& record) const;
  void EndSessions();
  void AssignUnowned();

  Schedule& schedule_;
  SimClock clock_;
  std::uint64_t last_epoch_ = 0;
  std::uint64_t last_grant_ = 0;
  /// Open sessions with the time of their last renewal.
  std::map<std::uint64_t, base::MonotonicTime> sessions_;
  std::map<std::string, Record> records_;
};

}  // namespace wagtailpick::admission
