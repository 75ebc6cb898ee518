#include "entry/session.h"

#include <utility>

namespace wagtailpick::entry {

void Session::ApplyRenewal(std::uint64_t epoch, base::MonotonicTime sent, ViewPtr view) {
  const std::lock_guard lock(mutex_);
  lease_.StartSession(epoch);
  lease_.OnGranted({epoch, sent}, base::MonotonicNow());
  if (view != nullptr) view_ = std::move(view);
}

bool Session::IsActive(base::MonotonicTime now) const {
  const std::lock_guard lock(mutex_);
  return lease_.IsValid(now) && view_ != nullptr && view_->directory != nullptr;
}

admission::SessionLease Session::lease() const {
  const std::lock_guard lock(mutex_);
  return lease_;
}

ViewPtr Session::view() const {
  const std::lock_guard lock(mutex_);
  return view_;
}

}  // namespace wagtailpick::entry
