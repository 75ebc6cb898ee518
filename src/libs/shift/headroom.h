#pragma once

#include <cstdint>

namespace wagtailpick::shift {

/// Whether an owner may admit a request from outside its region: more than `headroom_percent` of
/// the slots that it owns in the place have to be free, so that a shift never takes the last ones.
constexpr bool MayAdmitShifted(std::uint32_t free_slots, std::uint32_t total_slots,
                               std::uint32_t headroom_percent) {
  constexpr std::uint64_t kPercent = 100;
  return std::uint64_t{free_slots} * kPercent > std::uint64_t{total_slots} * headroom_percent;
}

}  // namespace wagtailpick::shift
