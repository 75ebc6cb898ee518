#include "control/session_table.h"

#include <algorithm>
#include <array>

#include "base/enum_names.h"

namespace wagtailpick::control {
namespace {

using base::EnumName;
using base::MonotonicTime;

// Longer than a commit between regions takes, so that a close is rarely proposed twice.
constexpr base::Duration kProposeAgainAfter = std::chrono::seconds(1);

constexpr std::array<EnumName<RenewVerdict>, 3> kRenewNames{{
    {RenewVerdict::kRenewed, "renewed"},
    {RenewVerdict::kUnknown, "unknown"},
    {RenewVerdict::kExpired, "expired"},
}};

}  // namespace

std::string_view ToString(RenewVerdict verdict) { return base::NameOf(kRenewNames, verdict); }

SessionTable::SessionTable(LeaseTerms terms) : terms_(terms) {}

void SessionTable::Reset(std::span<const SessionId> open, MonotonicTime now) {
  leases_.clear();
  for (const SessionId session : open) Add(session, now);
}

void SessionTable::Add(SessionId session, MonotonicTime now) {
  const MonotonicTime ends = now + terms_.LeaderLease();
  leases_.try_emplace(session, Lease{ends, ends, false});
}

void SessionTable::Remove(SessionId session) { leases_.erase(session); }

RenewVerdict SessionTable::Renew(SessionId session, MonotonicTime now) {
  const auto found = leases_.find(session);
  if (found == leases_.end()) return RenewVerdict::kUnknown;
  Lease& lease = found->second;
  if (now >= lease.ends) lease.expired = true;
  if (lease.expired) return RenewVerdict::kExpired;
  lease.ends = now + terms_.LeaderLease();
  lease.propose_at = lease.ends;
  return RenewVerdict::kRenewed;
}

std::vector<SessionId> SessionTable::TakeExpired(MonotonicTime now) {
  std::vector<SessionId> expired;
  for (auto& [session, lease] : leases_) {
    if (now < lease.propose_at) continue;
    lease.expired = true;
    lease.propose_at = now + kProposeAgainAfter;
    expired.push_back(session);
  }
  std::sort(expired.begin(), expired.end());
  return expired;
}

}  // namespace wagtailpick::control
