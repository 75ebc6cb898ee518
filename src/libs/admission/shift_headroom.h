#pragma once

#include <cstdint>

namespace wagtailpick::admission {

/// True when more than `headroom_percent` of `total` slots are free, so that a shifted request may
/// take one without using the last slots of the place's own callers.
bool ShiftFitsHeadroom(std::uint32_t free, std::uint32_t total, std::uint32_t headroom_percent);

}  // namespace wagtailpick::admission
