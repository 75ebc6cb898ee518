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

/// Result of `SlotTable::Grant`.
enum class GrantEffect {
  kGranted,
  /// The grant is known or was ended, or a newer one is in force.
  kOldGrant,
  /// The table holds the maximum number of upstreams.
  kFull,
};

/// Upstreams that this entry owns, with their slots. Only the owner of an upstream hands out its
/// slots, so the counts are exact.
class SlotTable {
 public:
  /// `max_upstreams` is the maximum number of upstreams that the table holds.
  explicit SlotTable(std::size_t max_upstreams = 10'000) : max_upstreams_(max_upstreams) {}

  /// Sets the limits of a service, as given in the bundle.
  void SetService(const std::string& service, const ServiceLimits& limits);

  /// Removes a service; its requests are refused from now on.
  void RemoveService(const std::string& service);

  /// Starts or ends the drain of a pool, as given in the bundle.
  void SetDrained(const PoolKey& pool, bool drained, const membership::LocalTime& now);

  /// Adds an upstream that this entry owns from now on. A grant with a higher `grant_id` replaces
  /// an earlier one of the same address.
  GrantEffect Grant(OwnershipGrant grant, const membership::LocalTime& now);

  /// Applies the newest announcement of an upstream; ignored when it is not owned.
  void ApplyAnnouncement(const membership::Upstream& seen, const membership::LocalTime& now);

  /// Stops new requests at the upstream permanently, before it is handed over to another entry.
  /// Returns false when it is not owned. Once `IsIdle` returns true, report the upstream as idle
  /// under its `grant_id` and call `EndOwnership`.
  bool BeginHandover(const std::string& address, const membership::LocalTime& now);

  /// True when the upstream is owned and no request of this or an earlier owner can still run
  /// there.
  bool IsIdle(const std::string& address, const membership::LocalTime& now);

  /// Ends the ownership and invalidates its tickets. Returns false and changes nothing when the
  /// upstream is not owned under `grant_id`.
  bool EndOwnership(const std::string& address, std::uint64_t grant_id);

  /// Ends all ownerships of sessions before `epoch`. Call this when a new session starts.
  void EndEpochsBefore(std::uint64_t epoch);

  /// Takes a slot of the upstream at `address`, or returns why none is given.
  Acquisition Acquire(const std::string& address, const SlotRequest& request,
                      const SessionLease& lease, const membership::LocalTime& now);

  /// Takes a slot of the upstream of `pool` that has the most free slots, or returns why none is
  /// given.
  Acquisition AcquireAny(const PoolKey& pool, const SlotRequest& request, const SessionLease& lease,
                         const membership::LocalTime& now);

  /// Ends the request that holds `ticket` and records its result. Returns false and changes nothing
  /// when the ticket is no longer valid.
  bool Release(const SlotTicket& ticket, const SlotResult& result,
               const membership::LocalTime& now);

  /// Counts the slots of the upstreams that this entry owns in a pool. None are free unless the
  /// lease is valid.
  SlotCounts Counts(const PoolKey& pool, const SessionLease& lease,
                    const membership::LocalTime& now);

  /// Frees expired slots. Returns a notice for each draining upstream that has become idle since
  /// the last call.
  std::vector<IdleNotice> Tick(const membership::LocalTime& now);

  /// Returns the owned upstream at `address`, or null.
  const OwnedUpstream* Find(const std::string& address) const;

  /// Number of owned upstreams.
  std::size_t size() const { return by_address_.size(); }

 private:
  struct Pool {
    std::optional<ServiceLimits> limits;
    bool drained = false;
    /// Indices into `upstreams_`.
    std::vector<std::uint32_t> members;
  };

  /// Empty when the index is unused.
  struct Owned {
    std::unique_ptr<OwnedUpstream> upstream;
    Pool* pool = nullptr;
  };

  Pool& FindOrAddPool(const PoolKey& key);
  OwnedUpstream* FindOwned(const std::string& address);
  void AddToPool(std::uint32_t index, const membership::LocalTime& now);
  void RemoveFromPool(std::uint32_t index);
  void Remove(std::uint32_t index);
  Refusal CheckRequest(const Owned& owned, const SlotRequest& request, const SessionLease& lease,
                       const membership::LocalTime& now);
  Acquisition AcquireAt(std::uint32_t index, const SlotRequest& request, const SessionLease& lease,
                        const membership::LocalTime& now);
  SlotCounts CountPool(const Pool& pool, const SessionLease& lease,
                       const membership::LocalTime& now);
  base::Duration WarmMedianOfPeers(const Pool& pool, std::uint32_t index) const;
  void EjectIfNeeded(const Pool& pool, OwnedUpstream& upstream, base::MonotonicTime now);

  std::size_t max_upstreams_;
  std::map<std::string, ServiceLimits> services_;
  std::map<PoolKey, Pool> pools_;
  std::vector<Owned> upstreams_;
  /// Unused indices of `upstreams_`.
  std::vector<std::uint32_t> unused_indices_;
  std::unordered_map<std::string, std::uint32_t> by_address_;
  /// By address, the newest grant that was ended in this session. A record that arrives late or
  /// twice must not restore the ownership after the upstream was handed over.
  std::unordered_map<std::string, std::uint64_t> ended_grants_;
  std::uint64_t last_serial_ = 0;
};

}  // namespace wagtailpick::admission
