#pragma once

#include <cstdint>
#include <deque>
#include <string_view>

#include "admission/session_lease.h"
#include "base/monotonic_time.h"

namespace wagtailpick::admission {

/// Length of the sliding window in which a share may be used once.
constexpr base::Duration kShareWindow = std::chrono::milliseconds(1'000);

/// A share of a cap or link, as granted by the reply to a renewal.
struct ShareGrant {
  /// Time at which the renewal was sent, on the holder's clock.
  base::MonotonicTime renewal_sent_at;
  /// Requests or bytes per window.
  std::uint64_t amount = 0;
};

/// Result of `ShareWindow::TryAdmit`.
enum class ShareDecision {
  kAdmitted,
  /// The share was never granted, has expired or was revoked.
  kExpired,
  /// The share of the current window is used up, or there is debt.
  kUsedUp,
  /// The amount exceeds the whole share, so retrying later does not help.
  kLargerThanShare,
};

/// Returns the decision's name in logs and metrics.
std::string_view ToString(ShareDecision decision);

/// Rate limiter for an entry's share of a cap or link, in requests (amount 1 each) or in bytes. In
/// every window of real time the admitted amount plus the repaid debt is at most the share.
/// Admissions within 1 ms are merged into one at the time of the latest. This bounds the memory,
/// and it never admits more than exact bookkeeping would.
class ShareWindow {
 public:
  /// `window` is lengthened and `lease` shortened by the possible drift of the holder's clock.
  explicit ShareWindow(base::Duration window = kShareWindow, base::Duration lease = kLeaseLength);

  /// Replaces the share. It is valid for one lease, counted from the time at which the renewal was
  /// sent. Returns false and changes nothing if the reply to this or a later renewal was applied
  /// before.
  bool Apply(const ShareGrant& grant);

  /// Invalidates the share at once, because the session has ended.
  void Revoke() { valid_until_ = base::MonotonicTime::min(); }

  /// Admits `amount` requests or bytes if the share has that much left.
  ShareDecision TryAdmit(std::uint64_t amount, base::MonotonicTime now);

  /// Adds `amount` that an admitted request used beyond its reservation. It is deducted from the
  /// share of the following windows; until then nothing is admitted.
  void AddDebt(std::uint64_t amount, base::MonotonicTime now);

  /// Returns the amount that could be admitted at `now`.
  std::uint64_t Available(base::MonotonicTime now);

  /// Amount of debt not yet repaid.
  std::uint64_t debt() const { return debt_; }

 private:
  /// Admissions or repayments merged into one.
  struct Use {
    base::MonotonicTime first;
    base::MonotonicTime last;
    std::uint64_t amount = 0;
  };

  /// Repays debt up to `now` and removes uses that have left the window.
  void Advance(base::MonotonicTime now);
  void ExpireUses(base::MonotonicTime now);
  void RecordUse(std::uint64_t amount, base::MonotonicTime now);

  base::Duration window_;
  base::Duration lease_;
  std::uint64_t share_ = 0;
  base::MonotonicTime newest_renewal_ = base::MonotonicTime::min();
  base::MonotonicTime valid_until_ = base::MonotonicTime::min();
  std::deque<Use> uses_;
  /// Sum of `uses_`.
  std::uint64_t used_ = 0;
  std::uint64_t debt_ = 0;
  base::MonotonicTime advanced_to_ = base::MonotonicTime::min();
};

}  // namespace wagtailpick::admission
