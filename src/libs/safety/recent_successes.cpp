#include "safety/recent_successes.h"

namespace wagtailpick::safety {

void RecentSuccesses::Add(const Fingerprint& fingerprint, const Success& success) {
  if (capacity_ == 0) return;
  const auto found = index_.find(fingerprint);
  if (found != index_.end()) {
    entries_.splice(entries_.begin(), entries_, found->second);
  } else {
    if (index_.size() >= capacity_) {
      index_.erase(entries_.back().fingerprint);
      entries_.pop_back();
    }
    entries_.push_front({fingerprint, {}});
    index_[fingerprint] = entries_.begin();
  }
  AddSuccess(entries_.front().successes, success);
}

const Successes* RecentSuccesses::Find(const Fingerprint& fingerprint) const {
  const auto found = index_.find(fingerprint);
  return found == index_.end() ? nullptr : &found->second->successes;
}

}  // namespace wagtailpick::safety
