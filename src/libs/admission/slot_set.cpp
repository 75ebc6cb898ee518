#include "admission/slot_set.h"

#include <algorithm>

namespace wagtailpick::admission {

void SlotSet::StartGeneration() {
  ++generation_;
  taken_in_generation_ = 0;
}

std::optional<std::uint32_t> SlotSet::Acquire(std::uint64_t serial, std::int64_t expires_unix_ms) {
  if (taken_ >= count_) return std::nullopt;
  auto found =
      std::find_if(slots_.begin(), slots_.end(), [](const Slot& slot) { return slot.serial == 0; });
  if (found == slots_.end()) found = slots_.emplace(slots_.end());
  *found = {serial, expires_unix_ms, generation_, false};
  next_expiry_ = std::min(next_expiry_, expires_unix_ms);
  ++taken_;
  ++taken_in_generation_;
  return static_cast<std::uint32_t>(found - slots_.begin());
}

bool SlotSet::Free(std::uint32_t slot, std::uint64_t serial) {
  if (!Holds(slot, serial)) return false;
  Clear(slots_[slot]);
  return true;
}

bool SlotSet::MarkInDoubt(std::uint32_t slot, std::uint64_t serial) {
  if (!Holds(slot, serial)) return false;
  slots_[slot].in_doubt = true;
  ++in_doubt_;
  return true;
}

void SlotSet::Expire(std::int64_t wall_ms) {
  if (wall_ms < next_expiry_) return;
  next_expiry_ = std::numeric_limits<std::int64_t>::max();
  for (Slot& slot : slots_) {
    if (slot.serial == 0) continue;
    if (slot.expires_unix_ms <= wall_ms) {
      Clear(slot);
    } else {
      next_expiry_ = std::min(next_expiry_, slot.expires_unix_ms);
    }
  }
}

bool SlotSet::Holds(std::uint32_t slot, std::uint64_t serial) const {
  return serial != 0 && slot < slots_.size() && slots_[slot].serial == serial &&
         !slots_[slot].in_doubt;
}

void SlotSet::Clear(Slot& slot) {
  if (slot.in_doubt) --in_doubt_;
  if (slot.generation == generation_) --taken_in_generation_;
  slot = {};
  --taken_;
}

}  // namespace wagtailpick::admission
