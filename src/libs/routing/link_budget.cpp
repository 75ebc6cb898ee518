#include "routing/link_budget.h"

#include <algorithm>

namespace wagtailpick::routing {
namespace {

// Limits a window to about 100 counters at any request rate.
constexpr base::Duration kStep{10'000};

base::MonotonicTime StepOf(base::MonotonicTime now) {
  return base::MonotonicTime(now.time_since_epoch() / kStep * kStep);
}

}  // namespace

void LinkBudget::SetShare(std::uint64_t bytes_per_window, base::MonotonicTime valid_until) {
  share_ = bytes_per_window;
  valid_until_ = valid_until;
}

void LinkBudget::Expire(base::MonotonicTime now) {
  while (!steps_.empty() && steps_.front().begin + kStep + kWindow <= now) {
    used_ -= steps_.front().bytes;
    steps_.pop_front();
  }
  if (debt_ == 0 || used_ >= share_) return;
  const std::uint64_t paid = std::min(debt_, share_ - used_);
  debt_ -= paid;
  Add(paid, now);
}

void LinkBudget::Add(std::uint64_t bytes, base::MonotonicTime now) {
  const auto begin = StepOf(now);
  if (steps_.empty() || steps_.back().begin < begin) steps_.push_back({begin, 0});
  steps_.back().bytes += bytes;
  used_ += bytes;
}

bool LinkBudget::TryReserve(std::uint64_t bytes, base::MonotonicTime now) {
  if (bytes > Available(now)) return false;
  Add(bytes, now);
  return true;
}

void LinkBudget::ChargeExcess(std::uint64_t bytes, base::MonotonicTime now) {
  debt_ += bytes;
  Expire(now);
}

void LinkBudget::Return(std::uint64_t bytes, base::MonotonicTime reserved_at) {
  const auto begin = StepOf(reserved_at);
  for (auto step = steps_.rbegin(); step != steps_.rend(); ++step) {
    if (step->begin != begin) continue;
    const std::uint64_t returned = std::min(bytes, step->bytes);
    step->bytes -= returned;
    used_ -= returned;
    return;
  }
}

std::uint64_t LinkBudget::Available(base::MonotonicTime now) {
  Expire(now);
  if (now >= valid_until_ || debt_ > 0 || used_ >= share_) return 0;
  return share_ - used_;
}

}  // namespace wagtailpick::routing
