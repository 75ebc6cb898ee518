#pragma once

#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/monotonic_time.h"
#include "control/lease_times.h"
#include "control/session.h"

namespace wagtailpick::control {

enum class RenewVerdict {
  kRenewed,
  /// The session is not open.
  kUnknown,
  /// The lease has expired and the session is being closed; it cannot be renewed any more.
  kExpired,
};

/// Returns the verdict's name in logs and answers.
std::string_view ToString(RenewVerdict verdict);

/// Leases of the open sessions, kept in memory by the leader. Other replicas do not use their
/// tables.
class SessionTable {
 public:
  explicit SessionTable(LeaseTimes times = {});

  /// Starts a term as leader: all `open` sessions are treated as renewed at `now`, which must not
  /// be before the election.
  void Reset(std::span<const SessionId> open, base::MonotonicTime now);

  /// Adds a session whose opening was applied at `now`.
  void Add(SessionId session, base::MonotonicTime now);

  /// Removes a session whose closing was applied.
  void Remove(SessionId session);

  /// Extends a lease by a renewal handled at `now`. The answer may only be sent while the leader's
  /// own lease is valid.
  RenewVerdict Renew(SessionId session, base::MonotonicTime now);

  /// Returns the sessions for which to propose a `CloseSession`, sorted: those whose lease expired
  /// by `now`. A session that is still in the table one second later is returned again, as the
  /// proposal may have been lost.
  std::vector<SessionId> CollectExpired(base::MonotonicTime now);

  std::size_t size() const { return leases_.size(); }

 private:
  struct Lease {
    base::MonotonicTime expires_at;
    base::MonotonicTime propose_close_at;
    bool expired = false;
  };

  LeaseTimes times_;
  std::unordered_map<SessionId, Lease> leases_;
};

}  // namespace wagtailpick::control
