#include "admission/shift_headroom.h"

namespace wagtailpick::admission {

bool ShiftFitsHeadroom(std::uint32_t free, std::uint32_t total, std::uint32_t headroom_percent) {
  return std::uint64_t{free} * 100 > std::uint64_t{total} * headroom_percent;
}

}  // namespace wagtailpick::admission
