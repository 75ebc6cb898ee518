#pragma once

#include <cstdint>
#include <optional>

#include "base/monotonic_time.h"

namespace wagtailpick::admission {

/// Assumed bound on how far a VM's monotonic clock runs fast or slow, in percent.
constexpr int kMaxClockDriftPercent = 1;

/// Length of a session lease as the leader grants it.
constexpr base::Duration kLeaseLength = std::chrono::milliseconds(2'000);

/// A wait that lasts at least `span` of true time on a clock that runs fast within the bound.
constexpr base::Duration LengthenForDrift(base::Duration span) {
  return span * (100 + kMaxClockDriftPercent) / 100;
}

/// A period that lasts at most `span` of true time on a clock that runs slow within the bound.
constexpr base::Duration ShortenForDrift(base::Duration span) {
  return span * (100 - kMaxClockDriftPercent) / 100;
}

/// A renewal that was sent; its reply is matched to the epoch and the instant of the sending.
struct Renewal {
  std::uint64_t epoch = 0;
  base::MonotonicTime sent_at;
};

/// What a reply to a renewal did to the lease.
enum class RenewalEffect {
  kExtended,
  /// The lease already ends later, or the reply came after the time that it grants.
  kTooLate,
  /// The renewal belongs to an earlier session of this entry.
  kOldEpoch,
};

/// Holder's side of a session lease. The epoch numbers the entry's sessions: the leader gives every
/// new session a higher one.
class SessionLease {
 public:
  explicit SessionLease(base::Duration length = kLeaseLength);

  /// Starts a session without a lease; the first renewal gives it one. Returns false, without
  /// effect, unless `epoch` is higher than all before.
  bool StartSession(std::uint64_t epoch);

  /// Call at the instant a renewal is sent, before the sending.
  Renewal StartRenewal(base::MonotonicTime now) const { return {epoch_, now}; }

  /// Takes in a reply that grants `renewal`: the lease counts from when the renewal was sent.
  RenewalEffect OnGranted(const Renewal& renewal, base::MonotonicTime now);

  /// Takes in a reply that says that the session has ended; ignored for an earlier epoch.
  void OnEnded(const Renewal& renewal);

  bool IsValid(base::MonotonicTime now) const { return now < expires_at_; }
  base::MonotonicTime expires_at() const { return expires_at_; }
  /// Epoch of the current session, 0 before the first.
  std::uint64_t epoch() const { return epoch_; }

 private:
  base::Duration length_;
  std::uint64_t epoch_ = 0;
  base::MonotonicTime expires_at_ = base::MonotonicTime::min();
  bool ended_ = true;
};

}  // namespace wagtailpick::admission
