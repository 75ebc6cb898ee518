#pragma once

#include <cstdint>
#include <optional>

#include "base/monotonic_time.h"

namespace wagtailpick::admission {

/// Maximum drift of a VM's monotonic clock that the leases allow for, in percent.
constexpr int kMaxClockDriftPercent = 1;

/// Duration of a session lease as granted by the leader.
constexpr base::Duration kLeaseLength = std::chrono::milliseconds(2'000);

/// Returns how long to wait on the local clock so that at least `span` of real time passes, even if
/// that clock runs fast by `kMaxClockDriftPercent`.
constexpr base::Duration LengthenForDrift(base::Duration span) {
  return span * (100 + kMaxClockDriftPercent) / 100;
}

/// Returns the local time in which at most `span` of real time passes, even if the local clock runs
/// slow by `kMaxClockDriftPercent`.
constexpr base::Duration ShortenForDrift(base::Duration span) {
  return span * (100 - kMaxClockDriftPercent) / 100;
}

/// A renewal request in flight. Its reply extends the lease of session `epoch`, counted from
/// `sent_at` on the holder's clock.
struct Renewal {
  std::uint64_t epoch = 0;
  base::MonotonicTime sent_at;
};

/// Effect of a renewal reply on the lease.
enum class RenewalEffect {
  kExtended,
  /// The lease already ends later, or the granted time is over.
  kTooLate,
  /// The renewal belongs to an earlier session of this entry, or the session has ended.
  kOldEpoch,
};

/// A session lease as seen by its holder. The leader numbers the sessions: each new session of the
/// entry gets a higher epoch.
class SessionLease {
 public:
  /// `length` is the lease that the leader grants; it is shortened by the possible clock drift.
  explicit SessionLease(base::Duration length = kLeaseLength);

  /// Starts a session. The lease is invalid until the first renewal is granted. Returns false and
  /// changes nothing unless `epoch` is higher than that of every earlier session.
  bool StartSession(std::uint64_t epoch);

  /// Returns the renewal to match the reply with. Call this before the renewal is sent: the lease
  /// counts from `now`.
  Renewal StartRenewal(base::MonotonicTime now) const { return {epoch_, now}; }

  /// Handles a reply that grants `renewal`. The lease is extended from the time at which the
  /// renewal was sent: the leader counts it from when it handled the renewal, which was not before.
  RenewalEffect OnGranted(const Renewal& renewal, base::MonotonicTime now);

  /// Handles a reply that reports that the session has ended; ignored for an earlier epoch.
  void OnEnded(const Renewal& renewal);

  /// True while the lease is in force.
  bool IsValid(base::MonotonicTime now) const { return now < expires_at_; }
  /// Time from which the lease is no longer valid; `min()` when there is no lease.
  base::MonotonicTime expires_at() const { return expires_at_; }
  /// Epoch of the current session; 0 before the first.
  std::uint64_t epoch() const { return epoch_; }

 private:
  base::Duration length_;
  std::uint64_t epoch_ = 0;
  base::MonotonicTime expires_at_ = base::MonotonicTime::min();
  bool ended_ = true;
};

}  // namespace wagtailpick::admission
