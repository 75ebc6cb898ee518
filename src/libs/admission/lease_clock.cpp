#include "admission/lease_clock.h"

namespace wagtailpick::admission {

LeaseClock::LeaseClock(base::Duration length) : length_(ShortEnough(length)) {}

bool LeaseClock::StartSession(std::uint64_t epoch) {
  if (epoch <= epoch_) return false;
  epoch_ = epoch;
  ends_ = base::MonotonicTime::min();
  ended_ = false;
  return true;
}

RenewalEffect LeaseClock::OnGranted(const Renewal& renewal, base::MonotonicTime now) {
  if (renewal.epoch != epoch_ || ended_) return RenewalEffect::kOldEpoch;
  const base::MonotonicTime ends = renewal.sent + length_;
  if (ends <= ends_ || ends <= now) return RenewalEffect::kTooLate;
  ends_ = ends;
  return RenewalEffect::kExtended;
}

void LeaseClock::OnEnded(const Renewal& renewal) {
  if (renewal.epoch != epoch_) return;
  ends_ = base::MonotonicTime::min();
  // A granting reply that was overtaken by this one must not revive the session.
  ended_ = true;
}

}  // namespace wagtailpick::admission
