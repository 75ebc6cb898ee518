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
  /// The session isn't open.
  kUnknown,
  /// The lease has ended and the session is being closed; a later renewal can't save it.
  kExpired,
};

/// Returns the verdict's name in logs and answers.
std::string_view ToString(RenewVerdict verdict);

/// Lease times of the open sessions, in the leader's memory. A replica that isn't leader doesn't
/// use its table.
class SessionTable {
 public:
  explicit SessionTable(LeaseTimes times = {});

  /// Starts a term as leader: all `open` sessions count as renewed at `now`, which mustn't be
  /// before the election.
  void Reset(std::span<const SessionId> open, base::MonotonicTime now);

  /// Takes in a session whose opening was applied at `now`.
  void Add(SessionId session, base::MonotonicTime now);

  /// Drops a session whose end was applied.
  void Remove(SessionId session);

  /// Extends a lease by a renewal handled at `now`. The answer may be sent only while the leader's
  /// own lease holds.
  RenewVerdict Renew(SessionId session, base::MonotonicTime now);

  /// Returns the sessions to propose for closing: those whose lease ended by `now`, and again after
  /// a second those that are still there, as the proposal may have been lost.
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
