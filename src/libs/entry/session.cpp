#include "entry/session.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::entry {
namespace {

/// Bound on the difference in rate between two VMs' clocks: the holder gives up this much earlier.
constexpr int kClockRatePercent = 1;

}  // namespace

void Session::Renewed(std::uint64_t epoch, base::MonotonicTime sent, base::Duration lease,
                      ViewPtr view) {
  const std::lock_guard lock(mutex_);
  if (epoch < epoch_) return;
  epoch_ = epoch;
  lease_end_ = std::max(lease_end_, sent + lease * (100 - kClockRatePercent) / 100);
  if (view != nullptr) view_ = std::move(view);
}

bool Session::IsActive(base::MonotonicTime now) const {
  const std::lock_guard lock(mutex_);
  return now < lease_end_ && view_ != nullptr && view_->bundle.version > 0;
}

std::uint64_t Session::epoch() const {
  const std::lock_guard lock(mutex_);
  return epoch_;
}

base::MonotonicTime Session::lease_end() const {
  const std::lock_guard lock(mutex_);
  return lease_end_;
}

ViewPtr Session::view() const {
  const std::lock_guard lock(mutex_);
  return view_;
}

}  // namespace wagtailpick::entry
