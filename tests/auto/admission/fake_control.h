#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "admission/ownership_grant.h"
#include "schedule.h"

namespace wagtailpick::admission {

/// The leader's side of sessions and ownership, by the rules of the design: a session ends one
/// lease and 1% after the leader handled its last renewal, and its upstreams then go to other
/// sessions.
class FakeControl {
 public:
  explicit FakeControl(Schedule& schedule) : schedule_(schedule), clock_(schedule.random) {}

  /// Called with each new record, so that its owner learns of it at once.
  std::function<void(const OwnershipGrant&)> on_grant;

  void AddUpstream(const std::string& address) { records_[address]; }

  /// Opens a session and returns its epoch.
  std::uint64_t OpenSession();

  /// Renews a session; returns false when it has ended.
  bool Renew(std::uint64_t epoch);

  /// Ownership records of a session.
  std::vector<OwnershipGrant> Grants(std::uint64_t epoch) const;

  /// Takes back an upstream that its owner hands over idle.
  void Disown(const std::string& address, std::uint64_t grant_id);

  /// Ends sessions whose lease is over and gives their upstreams away.
  void Tick();

  /// A new leader with another clock treats every session as renewed.
  void ChangeLeader();

  /// Epoch of the owner of `address`, 0 when there is none.
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
  void AssignFree();

  Schedule& schedule_;
  SimClock clock_;
  std::uint64_t last_epoch_ = 0;
  std::uint64_t last_grant_ = 0;
  /// Open sessions with the time of their last renewal.
  std::map<std::uint64_t, base::MonotonicTime> sessions_;
  std::map<std::string, Record> records_;
};

}  // namespace wagtailpick::admission
