#pragma once

#include <cstdint>
#include <deque>
#include <string_view>

#include "admission/session_lease.h"
#include "base/monotonic_time.h"

namespace wagtailpick::admission {

/// Length of the window that caps and link shares are given for.
constexpr base::Duration kShareWindow = std::chrono::milliseconds(1'000);

/// A share of a cap as a renewal's reply grants it.
struct ShareGrant {
  /// When the renewal was sent, on the holder's clock.
  base::MonotonicTime renewal_sent_at;
  /// Requests or bytes per window.
  std::uint64_t amount = 0;
};

/// Answer of `ShareWindow::TryAdmit`.
enum class ShareDecision {
  kAdmitted,
  kExpired,
  kUsedUp,
  /// More than the whole share, so that no wait helps.
  kLargerThanShare,
};

/// Returns the decision's name in logs and metrics.
std::string_view ToString(ShareDecision decision);

/// A holder's share of a cap, in requests (amount 1 each) or in bytes. In every window of true
/// time, what was admitted plus the debt paid off is at most the share. Admissions within 1 ms are
/// kept as one at the later instant, which bounds the memory and can only refuse more.
class ShareWindow {
 public:
  /// `window` is stretched by the clock rate bound, as the holder's clock may run fast.
  explicit ShareWindow(base::Duration window = kShareWindow, base::Duration lease = kLeaseLength);

  /// Replaces the share; it is valid for one lease from when the renewal was sent. Returns false,
  /// without effect, when a later renewal's share is in force.
  bool Apply(const ShareGrant& grant);

  /// Gives the share up at once, for a session that has ended.
  void Revoke() { valid_until_ = base::MonotonicTime::min(); }

  /// Admits `amount` when it fits into the share.
  ShareDecision TryAdmit(std::uint64_t amount, base::MonotonicTime now);

  /// Charges what an admitted request used beyond its reservation to the windows that follow.
  void AddDebt(std::uint64_t amount, base::MonotonicTime now);

  /// What could be admitted at `now`.
  std::uint64_t Available(base::MonotonicTime now);

  std::uint64_t debt() const { return debt_; }

 private:
  struct Use {
    base::MonotonicTime first;
    base::MonotonicTime last;
    std::uint64_t amount = 0;
  };

  void Advance(base::MonotonicTime now);
  void DropOld(base::MonotonicTime now);
  void Book(std::uint64_t amount, base::MonotonicTime now);

  base::Duration window_;
  base::Duration lease_;
  std::uint64_t share_ = 0;
  base::MonotonicTime newest_renewal_ = base::MonotonicTime::min();
  base::MonotonicTime valid_until_ = base::MonotonicTime::min();
  std::deque<Use> uses_;
  std::uint64_t used_ = 0;
  std::uint64_t debt_ = 0;
  base::MonotonicTime advanced_to_ = base::MonotonicTime::min();
};

}  // namespace wagtailpick::admission
