#include "control/session_table.h"

#include <algorithm>
#include <array>

#include "base/enum_names.h"

namespace wagtailpick::control {
namespace {

using base::EnumName;
using base::MonotonicTime;

// Longer than a commit between regions takes, so that closing a session is rarely proposed twice.
constexpr base::Duration kCloseRetryInterval = std::chrono::seconds(1);

constexpr std::array<EnumName<RenewVerdict>, 3> kRenewNames{{
    {RenewVerdict::kRenewed, "renewed"},
    {RenewVerdict::kUnknown, "unknown"},
    {RenewVerdict::kExpired, "expired"},
}};

}  // namespace

std::string_view ToString(RenewVerdict verdict) { return base::NameOf(kRenewNames, verdict); }

SessionTable::SessionTable(LeaseTimes times) : times_(times) {}

void SessionTable::Reset(std::span<const SessionId> open, MonotonicTime now) {
  leases_.clear();
  for (const SessionId session : open) Add(session, now);
}

void SessionTable::Add(SessionId session, MonotonicTime now) {
  const MonotonicTime expires_at = now + times_.LeaderLease();
  leases_.try_emplace(session, Lease{expires_at, expires_at, false});
}

void SessionTable::Remove(SessionId session) { leases_.erase(session); }

RenewVerdict SessionTable::Renew(SessionId session, MonotonicTime now) {
  const auto found = leases_.find(session);
  if (found == leases_.end()) return RenewVerdict::kUnknown;
  Lease& lease = found->second;
  if (now >= lease.expires_at) lease.expired = true;
  if (lease.expired) return RenewVerdict::kExpired;
  lease.expires_at = now + times_.LeaderLease();
  lease.propose_close_at = lease.expires_at;
  return RenewVerdict::kRenewed;
}

std::vector<SessionId> SessionTable::CollectExpired(MonotonicTime now) {
  std::vector<SessionId> expired;
  for (auto& [session, lease] : leases_) {
    if (now < lease.propose_close_at) continue;
    lease.expired = true;
    lease.propose_close_at = now + kCloseRetryInterval;
    expired.push_back(session);
  }
  std::sort(expired.begin(), expired.end());
  return expired;
}

}  // namespace wagtailpick::control
