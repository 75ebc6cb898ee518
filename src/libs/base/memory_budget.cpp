#include "base/memory_budget.h"

#include <algorithm>
#include <utility>

#include "base/enum_names.h"

namespace wagtailpick::base {
namespace {

constexpr std::array<EnumName<MemoryUse>, 4> kUseNames{{
    {MemoryUse::kSmall, "small"},
    {MemoryUse::kRequest, "request"},
    {MemoryUse::kAnswer, "answer"},
    {MemoryUse::kOpenAnswer, "open_answer"},
}};

/// Percentages of the budget that only one use may take, in the order of `kMemoryUses`. The part
/// for requests holds a body of 64 MiB on a VM with 256 MB; with the shared part, two of 60 MB.
constexpr std::array<std::size_t, 4> kOwnPercent{10, 40, 10, 5};
constexpr std::size_t kSharedPercent = 35;

}  // namespace

std::string_view ToString(MemoryUse use) { return NameOf(kUseNames, use); }

std::size_t MemoryBudget::OwnPart(MemoryUse use) const {
  return total_ / 100 * kOwnPercent.at(static_cast<std::size_t>(use));
}

std::size_t MemoryBudget::SharedBytes(MemoryUse use, std::size_t held) const {
  return held - std::min(held, OwnPart(use));
}

bool MemoryBudget::TryAcquire(MemoryUse use, std::size_t bytes) {
  auto& state = StateOf(use);
  std::size_t shared = SharedBytes(use, state.held + bytes);
  for (const auto other : kMemoryUses) {
    if (other != use) shared += SharedBytes(other, held(other));
  }
  const bool needs_shared = state.held + bytes > OwnPart(use);
  if (needs_shared && shared > total_ / 100 * kSharedPercent) {
    ++state.refusals;
    return false;
  }
  state.held += bytes;
  held_ += bytes;
  peak_ = std::max(peak_, held_);
  return true;
}

void MemoryBudget::Release(MemoryUse use, std::size_t bytes) {
  StateOf(use).held -= bytes;
  held_ -= bytes;
}

MemoryReservation::MemoryReservation(std::shared_ptr<MemoryBudget> budget, MemoryUse large_use)
    : budget_(std::move(budget)), large_use_(large_use) {}

MemoryReservation::~MemoryReservation() { budget_->Release(use_, bytes_); }

bool MemoryReservation::GrowTo(std::size_t bytes) {
  if (bytes <= bytes_) return true;
  const auto use = bytes > kSmallMessageBytes ? large_use_ : MemoryUse::kSmall;
  if (use == use_) {
    if (!budget_->TryAcquire(use, bytes - bytes_)) return false;
  } else {
    if (!budget_->TryAcquire(use, bytes)) return false;
    budget_->Release(use_, bytes_);
    use_ = use;
  }
  bytes_ = bytes;
  return true;
}

}  // namespace wagtailpick::base
