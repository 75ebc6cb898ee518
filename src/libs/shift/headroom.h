#pragma once

#include <cstdint>

namespace wagtailpick::shift {

/// True when an owner may admit a request that was shifted from another region: more than
/// `headroom_percent` of the slots that it owns in the data centre are free. The rest is reserved
/// for the data centre's own callers.
constexpr bool MayAdmitShifted(std::uint32_t free_slots, std::uint32_t total_slots,
                               std::uint32_t headroom_percent) {
  constexpr std::uint64_t kPercent = 100;
  return std::uint64_t{free_slots} * kPercent > std::uint64_t{total_slots} * headroom_percent;
}

}  // namespace wagtailpick::shift
