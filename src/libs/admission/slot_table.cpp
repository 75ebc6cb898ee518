#include "admission/slot_table.h"

#include <algorithm>
#include <utility>

#include "admission/shift_headroom.h"

namespace wagtailpick::admission {

using membership::LocalTime;

void SlotTable::SetService(const std::string& service, const ServiceLimits& limits) {
  services_[service] = limits;
  for (auto& [key, pool] : pools_) {
    if (key.service != service) continue;
    pool.limits = limits;
    for (const std::uint32_t index : pool.members) upstreams_[index].upstream->SetLimits(limits);
  }
}

void SlotTable::RemoveService(const std::string& service) {
  services_.erase(service);
  for (auto& [key, pool] : pools_) {
    if (key.service == service) pool.limits.reset();
  }
}

void SlotTable::SetDrained(const PoolKey& pool, bool drained, const LocalTime& now) {
  Pool& found = FindOrAddPool(pool);
  found.drained = drained;
  for (const std::uint32_t index : found.members) {
    upstreams_[index].upstream->SetDrained(drained, now);
  }
}

GrantEffect SlotTable::Grant(OwnershipGrant grant, const LocalTime& now) {
  const auto ended = ended_grants_.find(grant.address);
  if (ended != ended_grants_.end() && grant.grant_id <= ended->second) {
    return GrantEffect::kOldGrant;
  }
  const auto known = by_address_.find(grant.address);
  if (known != by_address_.end()) {
    if (grant.grant_id <= upstreams_[known->second].upstream->grant().grant_id) {
      return GrantEffect::kOldGrant;
    }
    Remove(known->second);
  }
  if (by_address_.size() >= max_upstreams_) return GrantEffect::kFull;
  if (unused_indices_.empty()) {
    unused_indices_.push_back(static_cast<std::uint32_t>(upstreams_.size()));
    upstreams_.emplace_back();
  }
  const std::uint32_t index = unused_indices_.back();
  unused_indices_.pop_back();
  by_address_[grant.address] = index;
  upstreams_[index].upstream = std::make_unique<OwnedUpstream>(std::move(grant), now);
  AddToPool(index, now);
  return GrantEffect::kGranted;
}

void SlotTable::ApplyAnnouncement(const membership::Upstream& seen, const LocalTime& now) {
  const auto found = by_address_.find(seen.announcement.address());
  if (found == by_address_.end()) return;
  const std::uint32_t index = found->second;
  OwnedUpstream& upstream = *upstreams_[index].upstream;
  const OwnershipGrant& grant = upstream.grant();
  if (grant.service == seen.announcement.service() && grant.place == seen.announcement.place()) {
    upstream.ApplyAnnouncement(seen, now);
    return;
  }
  // After a restart the upstream can serve another service or be in another data centre.
  RemoveFromPool(index);
  upstream.ApplyAnnouncement(seen, now);
  AddToPool(index, now);
}

bool SlotTable::BeginHandover(const std::string& address, const LocalTime& now) {
  OwnedUpstream* upstream = FindOwned(address);
  if (upstream == nullptr) return false;
  upstream->BeginHandover(now);
  return true;
}

bool SlotTable::IsIdle(const std::string& address, const LocalTime& now) {
  OwnedUpstream* upstream = FindOwned(address);
  if (upstream == nullptr) return false;
  upstream->Expire(now);
  return upstream->IsIdle(now);
}

bool SlotTable::EndOwnership(const std::string& address, std::uint64_t grant_id) {
  const auto found = by_address_.find(address);
  if (found == by_address_.end()) return false;
  if (upstreams_[found->second].upstream->grant().grant_id != grant_id) return false;
  ended_grants_[address] = grant_id;
  Remove(found->second);
  return true;
}

void SlotTable::EndEpochsBefore(std::uint64_t epoch) {
  for (std::uint32_t index = 0; index < upstreams_.size(); ++index) {
    const auto& upstream = upstreams_[index].upstream;
    if (upstream && upstream->grant().epoch < epoch) Remove(index);
  }
  ended_grants_.clear();
}

Acquisition SlotTable::Acquire(const std::string& address, const SlotRequest& request,
                               const SessionLease& lease, const LocalTime& now) {
  const auto found = by_address_.find(address);
  if (found == by_address_.end()) return {Refusal::kNotOwned, {}};
  return AcquireAt(found->second, request, lease, now);
}

Acquisition SlotTable::AcquireAny(const PoolKey& pool, const SlotRequest& request,
                                  const SessionLease& lease, const LocalTime& now) {
  const auto found = pools_.find(pool);
  if (found == pools_.end() || found->second.members.empty()) return {Refusal::kNotOwned, {}};
  const std::vector<std::uint32_t>& members = found->second.members;
  std::uint32_t best = members.front();
  std::uint32_t most = 0;
  for (const std::uint32_t index : members) {
    OwnedUpstream& upstream = *upstreams_[index].upstream;
    upstream.Expire(now);
    const std::uint32_t free = upstream.FreeSlots(now);
    if (free <= most) continue;
    most = free;
    best = index;
  }
  return AcquireAt(best, request, lease, now);
}

Refusal SlotTable::CheckRequest(const Owned& owned, const SlotRequest& request,
                                const SessionLease& lease, const LocalTime& now) {
  const Pool& pool = *owned.pool;
  if (!pool.limits) return Refusal::kUnknownService;
  if (!lease.IsValid(now.monotonic) || owned.upstream->grant().epoch != lease.epoch()) {
    return Refusal::kNoLease;
  }
  if (request.deadline_unix_ms <= now.wall_ms) return Refusal::kDeadlinePassed;
  const std::int64_t latest = now.wall_ms + pool.limits->request_deadline_ms;
  // The deadline was computed from another VM's wall clock.
  if (request.deadline_unix_ms >= latest + membership::kMaxWallClockSkewMs) {
    return Refusal::kDeadlineTooLate;
  }
  if (!request.shifted) return Refusal::kNone;
  const SlotCounts counts = CountPool(pool, lease, now);
  const bool fits =
      ShiftFitsHeadroom(counts.free, counts.total, pool.limits->shift_headroom_percent);
  return fits ? Refusal::kNone : Refusal::kShiftHeadroom;
}

Acquisition SlotTable::AcquireAt(std::uint32_t index, const SlotRequest& request,
                                 const SessionLease& lease, const LocalTime& now) {
  OwnedUpstream& upstream = *upstreams_[index].upstream;
  upstream.Expire(now);
  if (const Refusal refusal = CheckRequest(upstreams_[index], request, lease, now);
      refusal != Refusal::kNone) {
    return {refusal, {}};
  }
  if (const Refusal refusal = upstream.RefusalReason(now); refusal != Refusal::kNone) {
    return {refusal, {}};
  }
  // Limits the deadline by this entry's wall clock, because the next owner's quarantine relies on
  // that limit.
  const std::int64_t deadline = std::min(
      request.deadline_unix_ms, now.wall_ms + upstreams_[index].pool->limits->request_deadline_ms);
  const auto slot = upstream.Acquire(++last_serial_, deadline);
  if (!slot) return {Refusal::kNoFreeSlot, {}};
  const std::int64_t start_by = std::min(deadline, upstream.start_by_unix_ms());
  return {Refusal::kNone, {index, *slot, last_serial_, deadline, start_by}};
}

bool SlotTable::Release(const SlotTicket& ticket, const SlotResult& result, const LocalTime& now) {
  if (ticket.upstream >= upstreams_.size()) return false;
  if (!upstreams_[ticket.upstream].upstream) return false;
  OwnedUpstream& upstream = *upstreams_[ticket.upstream].upstream;
  upstream.Expire(now);
  if (!upstream.Release(ticket.slot, ticket.serial, result.outcome, now)) return false;
  const Pool& pool = *upstreams_[ticket.upstream].pool;
  const base::Duration peer_median =
      upstream.cold() ? WarmMedianOfPeers(pool, ticket.upstream) : base::Duration{};
  upstream.Record(result, peer_median, now.monotonic);
  EjectIfNeeded(pool, upstream, now.monotonic);
  return true;
}

base::Duration SlotTable::WarmMedianOfPeers(const Pool& pool, std::uint32_t index) const {
  std::vector<base::Duration> medians;
  for (const std::uint32_t member : pool.members) {
    const base::Duration median = upstreams_[member].upstream->WarmMedian();
    if (member != index && median.count() > 0) medians.push_back(median);
  }
  if (medians.empty()) return base::Duration::zero();
  const auto middle = medians.begin() + static_cast<std::ptrdiff_t>(medians.size() / 2);
  std::nth_element(medians.begin(), middle, medians.end());
  return *middle;
}

void SlotTable::EjectIfNeeded(const Pool& pool, OwnedUpstream& upstream, base::MonotonicTime now) {
  if (!upstream.ErrorShareTooHigh() || upstream.ejected(now)) return;
  std::uint32_t ejected = 0;
  for (const std::uint32_t member : pool.members) {
    if (upstreams_[member].upstream->ejected(now)) ++ejected;
  }
  const auto total = static_cast<std::uint32_t>(pool.members.size());
  if (MayEjectOneMore(ejected, total)) upstream.Eject(now);
}

SlotCounts SlotTable::Counts(const PoolKey& pool, const SessionLease& lease, const LocalTime& now) {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? SlotCounts{} : CountPool(found->second, lease, now);
}

SlotCounts SlotTable::CountPool(const Pool& pool, const SessionLease& lease, const LocalTime& now) {
  SlotCounts counts;
  for (const std::uint32_t index : pool.members) {
    OwnedUpstream& upstream = *upstreams_[index].upstream;
    upstream.Expire(now);
    const SlotSet& slots = upstream.slots();
    ++counts.upstreams;
    counts.total += slots.count();
    counts.busy += slots.taken() - slots.in_doubt();
    counts.in_doubt += slots.in_doubt();
    const bool may_admit =
        pool.limits && lease.IsValid(now.monotonic) && upstream.grant().epoch == lease.epoch();
    if (may_admit) counts.free += upstream.FreeSlots(now);
  }
  return counts;
}

std::vector<IdleNotice> SlotTable::Tick(const LocalTime& now) {
  std::vector<IdleNotice> notices;
  for (const auto& [upstream, pool] : upstreams_) {
    if (!upstream) continue;
    upstream->Expire(now);
    if (auto notice = upstream->ConsumeIdleNotice(now)) notices.push_back(std::move(*notice));
  }
  return notices;
}

const OwnedUpstream* SlotTable::Find(const std::string& address) const {
  const auto found = by_address_.find(address);
  return found == by_address_.end() ? nullptr : upstreams_[found->second].upstream.get();
}

OwnedUpstream* SlotTable::FindOwned(const std::string& address) {
  const auto found = by_address_.find(address);
  return found == by_address_.end() ? nullptr : upstreams_[found->second].upstream.get();
}

SlotTable::Pool& SlotTable::FindOrAddPool(const PoolKey& key) {
  const auto [found, inserted] = pools_.try_emplace(key);
  if (!inserted) return found->second;
  const auto service = services_.find(key.service);
  if (service != services_.end()) found->second.limits = service->second;
  return found->second;
}

void SlotTable::AddToPool(std::uint32_t index, const LocalTime& now) {
  Owned& owned = upstreams_[index];
  owned.pool = &FindOrAddPool({owned.upstream->grant().service, owned.upstream->grant().place});
  owned.pool->members.push_back(index);
  if (owned.pool->limits) owned.upstream->SetLimits(*owned.pool->limits);
  owned.upstream->SetDrained(owned.pool->drained, now);
}

void SlotTable::RemoveFromPool(std::uint32_t index) {
  std::erase(upstreams_[index].pool->members, index);
}

void SlotTable::Remove(std::uint32_t index) {
  RemoveFromPool(index);
  by_address_.erase(upstreams_[index].upstream->grant().address);
  upstreams_[index] = {};
  unused_indices_.push_back(index);
}

}  // namespace wagtailpick::admission
