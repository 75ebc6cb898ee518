#include "admission/session_lease.h"

namespace wagtailpick::admission {

SessionLease::SessionLease(base::Duration length) : length_(ShortenForDrift(length)) {}

bool SessionLease::StartSession(std::uint64_t epoch) {
  if (epoch <= epoch_) return false;
  epoch_ = epoch;
  expires_at_ = base::MonotonicTime::min();
  ended_ = false;
  return true;
}

RenewalEffect SessionLease::OnGranted(const Renewal& renewal, base::MonotonicTime now) {
  if (renewal.epoch != epoch_ || ended_) return RenewalEffect::kOldEpoch;
  const base::MonotonicTime expires_at = renewal.sent_at + length_;
  if (expires_at <= expires_at_ || expires_at <= now) return RenewalEffect::kTooLate;
  expires_at_ = expires_at;
  return RenewalEffect::kExtended;
}

void SessionLease::OnEnded(const Renewal& renewal) {
  if (renewal.epoch != epoch_) return;
  expires_at_ = base::MonotonicTime::min();
  // A grant that arrives after this reply, out of order, must not reopen the session.
  ended_ = true;
}

}  // namespace wagtailpick::admission
