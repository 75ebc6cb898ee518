#include "admission/session_lease.h"

#include <criterion/criterion.h>

namespace wagtailpick::admission {
using base::MonotonicTime;

namespace {

MonotonicTime At(std::int64_t ms) { return MonotonicTime(std::chrono::milliseconds(ms)); }

}  // namespace

// Guards against a holder that counts its lease from the reply and so uses it after the leader has
// ended the session.
Test(session_lease, counts_from_sending_and_is_shortened_by_one_percent) {
  SessionLease lease;
  lease.StartSession(1);
  cr_expect(!lease.IsValid(At(0)));
  const Renewal renewal = lease.StartRenewal(At(1'000));
  cr_expect(lease.OnGranted(renewal, At(1'500)) == RenewalEffect::kExtended);
  cr_expect(lease.IsValid(At(2'979)));
  cr_expect(!lease.IsValid(At(2'980)));
}

// Guards against late replies that shorten a lease, extend it after its end or reopen an old
// session.
Test(session_lease, late_replies_are_ignored) {
  SessionLease lease;
  lease.StartSession(1);
  const Renewal first = lease.StartRenewal(At(0));
  const Renewal second = lease.StartRenewal(At(250));
  lease.OnGranted(second, At(300));
  cr_expect(lease.OnGranted(first, At(400)) == RenewalEffect::kTooLate);
  cr_expect(lease.expires_at() == At(250 + 1'980));
  const Renewal third = lease.StartRenewal(At(500));
  cr_expect(lease.OnGranted(third, At(2'480)) == RenewalEffect::kTooLate);
  cr_expect(!lease.StartSession(1));
  cr_expect(lease.StartSession(2));
  cr_expect(!lease.IsValid(At(600)), "a new session starts without a lease");
  cr_expect(lease.OnGranted(third, At(600)) == RenewalEffect::kOldEpoch);
  lease.OnEnded(third);
  const Renewal fourth = lease.StartRenewal(At(600));
  cr_expect(lease.OnGranted(fourth, At(700)) == RenewalEffect::kExtended);
  lease.OnEnded(fourth);
  cr_expect(!lease.IsValid(At(700)));
  cr_expect(lease.OnGranted(lease.StartRenewal(At(700)), At(710)) == RenewalEffect::kOldEpoch);
}

}  // namespace wagtailpick::admission
