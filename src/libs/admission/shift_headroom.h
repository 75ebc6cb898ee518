#pragma once

#include <cstdint>

namespace wagtailpick::admission {

/// True when more than `headroom_percent` of `total` slots are free. Only then may a shifted
/// request take a slot; the rest is reserved for the data centre's own callers.
bool ShiftFitsHeadroom(std::uint32_t free, std::uint32_t total, std::uint32_t headroom_percent);

}  // namespace wagtailpick::admission
