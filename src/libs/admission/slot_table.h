#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/owned_upstream.h"
#include "admission/ownership_grant.h"
#include "admission/pool.h"
#include "admission/service_limits.h"
#include "admission/session_lease.h"
#include "admission/slot_outcome.h"
#include "admission/slot_ticket.h"
#include "membership/upstream.h"

namespace wagtailpick::admission {

/// What became of an ownership grant.
enum class GrantEffect {
  kGranted,
  /// The record is known or was ended already, or is older than the record in force.
  kOldGrant,
  /// The table has its full number of upstreams.
  kFull,
};

/// The exact slots of the upstreams that this entry owns.
class SlotTable {
 public:
  explicit SlotTable(std::size_t max_upstreams = 10'000) : max_upstreams_(max_upstreams) {}

  /// Sets the limits of a service, from a bundle.
  void SetService(const std::string& service, const ServiceLimits& limits);

  /// Removes a service: nothing of it gets a slot any more.
  void RemoveService(const std::string& service);

  /// Starts or ends a drain of a pool, from a bundle.
  void SetDrained(const PoolKey& pool, bool drained, const membership::LocalTime& now);

  /// Sets what other entries report about a pool.
  void SetRemoteStats(const PoolKey& pool, const RemotePoolStats& remote_stats);

  /// Takes over an upstream. A grant under a higher id replaces an earlier one of the address.
  GrantEffect Grant(OwnershipGrant grant, const membership::LocalTime& now);

  /// Takes in the newest announcement of an upstream; ignored when it isn't owned.
  void ApplyAnnouncement(const membership::Upstream& seen, const membership::LocalTime& now);

  /// Stops new work at the upstream for good, before it is handed over. Hand it over as idle once
  /// `IsIdle` says so, naming `grant_id`, and then end the ownership.
  bool BeginHandover(const std::string& address, const membership::LocalTime& now);

  /// True when the upstream is owned and no request of this or an earlier owner can run there.
  bool IsIdle(const std::string& address, const membership::LocalTime& now);

  /// Ends the ownership under `grant_id`. Tickets that are out become stale.
  bool EndOwnership(const std::string& address, std::uint64_t grant_id);

  /// Ends all ownerships of sessions before `epoch`. Call it when a new session starts.
  void EndEpochsBefore(std::uint64_t epoch);

  /// Takes a slot of the upstream at `address`.
  Acquisition Acquire(const std::string& address, const SlotRequest& request,
                      const SessionLease& lease, const membership::LocalTime& now);

  /// Takes a slot of the pool's upstream with the most free slots.
  Acquisition AcquireAny(const PoolKey& pool, const SlotRequest& request, const SessionLease& lease,
                         const membership::LocalTime& now);

  /// Ends the request that `ticket` was given for. Returns false for a stale ticket, which changes
  /// nothing.
  bool Release(const SlotTicket& ticket, const SlotResult& result,
               const membership::LocalTime& now);

  /// Counts the slots that this entry owns in a pool; none are free without the lease.
  SlotCounts Counts(const PoolKey& pool, const SessionLease& lease,
                    const membership::LocalTime& now);

  /// Frees expired slots and returns the draining upstreams that have become idle.
  std::vector<IdleNotice> Tick(const membership::LocalTime& now);

  /// Returns the owned upstream at `address`, or null.
  const OwnedUpstream* Find(const std::string& address) const;

  std::size_t size() const { return by_address_.size(); }

 private:
  struct Pool {
    std::optional<ServiceLimits> limits;
    RemotePoolStats remote_stats;
    bool drained = false;
    std::vector<std::uint32_t> members;
  };

  struct Owned {
    std::unique_ptr<OwnedUpstream> upstream;
    Pool* pool = nullptr;
  };

  Pool& PoolOf(const PoolKey& key);
  OwnedUpstream* FindOwned(const std::string& address);
  void Join(std::uint32_t index, const membership::LocalTime& now);
  void Leave(std::uint32_t index);
  void Remove(std::uint32_t index);
  Refusal CheckRequest(const Owned& owned, const SlotRequest& request, const SessionLease& lease,
                       const membership::LocalTime& now);
  Acquisition AcquireAt(std::uint32_t index, const SlotRequest& request, const SessionLease& lease,
                        const membership::LocalTime& now);
  SlotCounts CountPool(const Pool& pool, const SessionLease& lease,
                       const membership::LocalTime& now);
  base::Duration WarmMedianOfPeers(const Pool& pool, std::uint32_t index) const;
  void EjectWhenAllowed(const Pool& pool, OwnedUpstream& upstream, base::MonotonicTime now);

  std::size_t max_upstreams_;
  std::map<std::string, ServiceLimits> services_;
  std::map<PoolKey, Pool> pools_;
  std::vector<Owned> upstreams_;
  std::vector<std::uint32_t> unused_;
  std::unordered_map<std::string, std::uint32_t> by_address_;
  /// Newest grant that was ended for an address in this session: a late copy of the record must not
  /// bring it back after the upstream was handed over.
  std::unordered_map<std::string, std::uint64_t> ended_;
  std::uint64_t last_serial_ = 0;
};

}  // namespace wagtailpick::admission
