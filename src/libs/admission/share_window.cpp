#include "admission/share_window.h"

#include <algorithm>
#include <array>

#include "base/enum_names.h"

namespace wagtailpick::admission {
namespace {

constexpr base::Duration kMergeSpan = std::chrono::milliseconds(1);

constexpr std::array<base::EnumName<ShareDecision>, 4> kDecisionNames{{
    {ShareDecision::kAdmitted, "admitted"},
    {ShareDecision::kExpired, "expired"},
    {ShareDecision::kUsedUp, "used_up"},
    {ShareDecision::kLargerThanShare, "larger_than_share"},
}};

}  // namespace

std::string_view ToString(ShareDecision decision) { return base::NameOf(kDecisionNames, decision); }

ShareWindow::ShareWindow(base::Duration window, base::Duration lease)
    : window_(LengthenForDrift(window)), lease_(ShortenForDrift(lease)) {}

bool ShareWindow::Apply(const ShareGrant& grant) {
  if (grant.renewal_sent_at <= newest_renewal_) return false;
  // Repays debt under the old share first: no debt may be repaid for a time in which no share was
  // valid.
  Advance(grant.renewal_sent_at);
  newest_renewal_ = grant.renewal_sent_at;
  valid_until_ = grant.renewal_sent_at + lease_;
  share_ = grant.amount;
  return true;
}

ShareDecision ShareWindow::TryAdmit(std::uint64_t amount, base::MonotonicTime now) {
  Advance(now);
  if (now >= valid_until_) return ShareDecision::kExpired;
  if (amount > share_) return ShareDecision::kLargerThanShare;
  if (debt_ > 0 || used_ + amount > share_) return ShareDecision::kUsedUp;
  RecordUse(amount, advanced_to_);
  return ShareDecision::kAdmitted;
}

void ShareWindow::AddDebt(std::uint64_t amount, base::MonotonicTime now) {
  Advance(now);
  debt_ += amount;
}

std::uint64_t ShareWindow::Available(base::MonotonicTime now) {
  Advance(now);
  if (now >= valid_until_ || debt_ > 0 || used_ >= share_) return 0;
  return share_ - used_;
}

void ShareWindow::Advance(base::MonotonicTime now) {
  base::MonotonicTime cursor = advanced_to_;
  // Threads read the time before they call, so `now` can be earlier than in the previous call.
  advanced_to_ = std::max(advanced_to_, now);
  // Repays debt at the times when uses left the window, independent of when this is called.
  while (debt_ > 0 && share_ > 0 && cursor <= advanced_to_ && cursor < valid_until_) {
    ExpireUses(cursor);
    if (used_ < share_) {
      const std::uint64_t paid = std::min(debt_, share_ - used_);
      debt_ -= paid;
      RecordUse(paid, cursor);
    } else {
      cursor = uses_.front().last + window_;
    }
  }
  ExpireUses(advanced_to_);
}

void ShareWindow::ExpireUses(base::MonotonicTime now) {
  while (!uses_.empty() && uses_.front().last + window_ <= now) {
    used_ -= uses_.front().amount;
    uses_.pop_front();
  }
}

void ShareWindow::RecordUse(std::uint64_t amount, base::MonotonicTime now) {
  used_ += amount;
  if (!uses_.empty() && now < uses_.back().first + kMergeSpan) {
    uses_.back().last = std::max(uses_.back().last, now);
    uses_.back().amount += amount;
    return;
  }
  uses_.push_back({now, now, amount});
}

}  // namespace wagtailpick::admission
